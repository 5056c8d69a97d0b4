//! Help texts of the commands.

/// A page of help, for one command or for all.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HelpPage {
    /// Overview of all commands.
    Overview,
    /// Help of `check`.
    Check,
    /// Help of `ticket`.
    Ticket,
    /// Help of `status`.
    Status,
    /// Help of `dump`.
    Dump,
    /// Help of `keys`.
    Keys,
    /// Help of `id`.
    Id,
    /// Help of `replay`.
    Replay,
}

impl HelpPage {
    /// Returns the text of the page.
    pub fn text(self) -> &'static str {
        match self {
            HelpPage::Overview => OVERVIEW,
            HelpPage::Check => CHECK,
            HelpPage::Ticket => TICKET,
            HelpPage::Status => STATUS,
            HelpPage::Dump => DUMP,
            HelpPage::Keys => KEYS,
            HelpPage::Id => ID,
            HelpPage::Replay => REPLAY,
        }
    }
}

const OVERVIEW: &str = "\
Command-line tool for operators of a jackdawvale fleet.

Usage: jackdaw COMMAND [options]

Commands:
  check    validates a settings file or a change ticket without applying it
  ticket   checks and applies change tickets, or queries their status
  status   shows the configuration in force, or the status of a process
  dump     prints the complete state of a process as JSON
  keys     generates the fleet authority, certificates and secret keys
  id       prints the identifier that stands for a name in logs and dumps
  replay   replays a recorded trace through the decision code
  demo     runs a complete fleet in one process under load

Options:
  --help     prints this text; jackdaw COMMAND --help prints the help of a command
  --version  prints the version

Exit status:
  0  success
  1  a file, the platform or a process could not be used; nothing was changed
  2  invalid command line
  3  settings, ticket, key or trace were rejected; nothing was changed
  4  the platform did not respond in time, so a ticket may have been accepted; applying
     the same ticket again is safe and shows the result
";

const CHECK: &str = "\
Validates a file without applying it and prints all errors.

Usage: jackdaw check FILE

A file whose name ends in .json is a change ticket; any other file contains settings,
of an agent if it has a section [target], otherwise of a router.

Exit status: 0 valid, 1 the file cannot be read, 2 invalid command line, 3 rejected.
";

const TICKET: &str = "\
Checks and applies change tickets, or queries their status.

Usage: jackdaw ticket check FILE [--platform URL]
       jackdaw ticket apply FILE --platform URL
       jackdaw ticket status NUMBER --platform URL

Options:
  --platform URL  the platform's object API, http://IP-NUMBER:PORT; with it, `check` also
                  checks the ticket against the configuration in force

Exit status: 0 valid, accepted or found; 1 the file or the platform cannot be used and
nothing was changed; 2 invalid command line; 3 rejected, or no ticket has the number;
4 the ticket may have been accepted: apply the same ticket again.
";

const STATUS: &str = "\
Shows the configuration in force, or the status of a process.

Usage: jackdaw status --platform URL
       jackdaw status --process IP:PORT [--key-file FILE]

Options:
  --platform URL     the platform's object API, http://IP-NUMBER:PORT
  --process IP:PORT  the admin address of a router or agent
  --key-file FILE    the file that contains the operators' key; with it, the status of a
                     router includes its configuration and links

Exit status: 0 success, 1 the platform or process cannot be used or is not ready,
2 invalid command line, 3 the key was rejected.
";

const DUMP: &str = "\
Prints the complete state of a process as JSON.

Usage: jackdaw dump --process IP:PORT --key-file FILE

Options:
  --process IP:PORT  the admin address of a router or agent
  --key-file FILE    the file that contains the operators' key

Exit status: 0 success, 1 the process cannot be used, 2 invalid command line,
3 the key was rejected.
";

const KEYS: &str = "\
Generates the fleet authority, certificates and secret keys. Existing files are never
overwritten; private keys are readable only by their owner.

Usage: jackdaw keys authority --directory DIR [--days N]
       jackdaw keys issue --directory DIR --vm NAME --role ROLE --certificate FILE
                          --key FILE [--days N]
       jackdaw keys secret

Commands:
  authority  creates authority.pem and authority.key in the directory
  issue      issues the certificate of a process, signed by the authority in the directory
  secret     prints a new random key and its digest, for a customer in a ticket or for
             operators in the settings

Options:
  --directory DIR     the authority's directory
  --days N            validity in days, 1 to 36500 (default: authority 3650, issue 365)
  --vm NAME           the VM's name in the platform's list
  --role ROLE         router, agent or operator
  --certificate FILE  the file to write the certificate to
  --key FILE          the file to write the private key to

Exit status: 0 success, 1 a file cannot be used, 2 invalid command line, 3 rejected.
";

const ID: &str = "\
Prints the identifier of a VM, customer, service or failure domain, first in the format
of logs and then in that of dumps.

Usage: jackdaw id NAME

Exit status: 0 success, 2 invalid command line.
";

const REPLAY: &str = "\
Replays a recorded trace through the decision code and compares the outcomes.

Usage: jackdaw replay FILE

Exit status: 0 the outcomes match, 1 the file cannot be used, 2 invalid command line,
3 the outcomes differ or a line cannot be parsed.
";
