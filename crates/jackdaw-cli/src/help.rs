//! Help texts.

/// A help text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HelpPage {
    /// All commands.
    Overview,
    /// `check`.
    Check,
    /// `ticket`.
    Ticket,
    /// `status`.
    Status,
    /// `dump`.
    Dump,
    /// `keys`.
    Keys,
    /// `id`.
    Id,
    /// `replay`.
    Replay,
}

impl HelpPage {
    /// Returns the text.
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
Operator's command of a jackdawvale fleet.

Usage: jackdaw COMMAND [options]

Commands:
  check    checks a settings file or a change ticket without applying it
  ticket   checks, applies and asks about change tickets
  status   shows the configuration in force, or the state of a process
  dump     prints the whole state of a process as JSON
  keys     makes the fleet authority, certificates and secret keys
  id       prints the identifier by which logs and dumps call a name
  replay   runs a recorded trace through the decision code
  demo     runs a whole fleet in one process under load

Options:
  --help     prints this text, or that of a command: jackdaw COMMAND --help
  --version  prints the version

Exit status:
  0  done
  1  a file, the platform or a process could not be used; nothing was changed
  2  wrong command line
  3  settings, ticket, key or trace were refused; nothing was changed
  4  the platform did not answer in time: a ticket may have been accepted; applying
     the same ticket again is safe and tells
";

const CHECK: &str = "\
Checks a file without applying it and prints every fault.

Usage: jackdaw check FILE

A file that ends in .json is a change ticket, every other one holds settings: of an
agent if it has a section [target], otherwise of a router.

Exit status: 0 allowed, 1 the file cannot be read, 2 wrong command line, 3 refused.
";

const TICKET: &str = "\
Checks, applies and asks about change tickets.

Usage: jackdaw ticket check FILE [--platform URL]
       jackdaw ticket apply FILE --platform URL
       jackdaw ticket status NUMBER --platform URL

Options:
  --platform URL  the platform's object API, http://IP-NUMBER:PORT; with `check`, the
                  ticket is compared with what is in force as well

Exit status: 0 allowed, accepted or found; 1 the file or the platform cannot be used
and nothing was changed; 2 wrong command line; 3 refused, or no ticket has the number;
4 the ticket may have been accepted: apply the same ticket again.
";

const STATUS: &str = "\
Shows the configuration in force, or the state of a process.

Usage: jackdaw status --platform URL
       jackdaw status --process IP:PORT [--key-file FILE]

Options:
  --platform URL     the platform's object API, http://IP-NUMBER:PORT
  --process IP:PORT  the admin address of a router or agent
  --key-file FILE    the file with the operators' key; with it, a router tells of its
                     configuration and links as well

Exit status: 0 shown, 1 the platform or process cannot be used or is not ready,
2 wrong command line, 3 the key was refused.
";

const DUMP: &str = "\
Prints the whole state of a process as JSON.

Usage: jackdaw dump --process IP:PORT --key-file FILE

Options:
  --process IP:PORT  the admin address of a router or agent
  --key-file FILE    the file with the operators' key

Exit status: 0 printed, 1 the process cannot be used, 2 wrong command line,
3 the key was refused.
";

const KEYS: &str = "\
Makes the fleet authority, certificates and secret keys. Files that exist are never
replaced; private keys are readable by their owner only.

Usage: jackdaw keys authority --directory DIR [--days N]
       jackdaw keys issue --directory DIR --vm NAME --role ROLE --certificate FILE
                          --key FILE [--days N]
       jackdaw keys secret

Commands:
  authority  makes authority.pem and authority.key in the directory
  issue      issues the certificate of a process with the authority in the directory
  secret     prints a new random key and its digest: for a customer in a ticket, or
             for operators in the settings

Options:
  --directory DIR     the authority's directory
  --days N            days of validity, 1 to 36500 (default: authority 3650, issue 365)
  --vm NAME           the VM's name in the platform's list
  --role ROLE         router, agent or operator
  --certificate FILE  the file to write the certificate to
  --key FILE          the file to write the private key to

Exit status: 0 made, 1 a file cannot be used, 2 wrong command line, 3 refused.
";

const ID: &str = "\
Prints the identifier of a VM, customer, service or failure domain, first as logs
show it and then as dumps do.

Usage: jackdaw id NAME

Exit status: 0 printed, 2 wrong command line.
";

const REPLAY: &str = "\
Runs a recorded trace through the decision code and compares the outcomes.

Usage: jackdaw replay FILE

Exit status: 0 as stated, 1 the file cannot be used, 2 wrong command line,
3 the outcomes differ or a line cannot be read.
";
