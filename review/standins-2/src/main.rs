//! Cases of an independent review. `review-case NAME FOLDER` plays one in the root of the repository and
//! writes `record.txt` into the folder.
//!
//! It ends with 1 if the rule of the case was broken, with 0 if it held and with 2 if the case could not
//! run. With `TROUBLE=0` in the environment it leaves the disruption out.

mod caller;
mod cut_watches;
mod engine;
mod http;
mod large_configs;
mod late_crash;
mod record;
mod resumed_twice;
mod router;
mod silent_store;
mod stale_seeds;
mod store;
mod streams_after_kill;
mod unreadable_entry;

use std::path::PathBuf;
use std::process::ExitCode;

use crate::record::{Record, Verdict};

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-case NAME FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = match Record::create(&PathBuf::from(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!("case {name}, disruption {}", if has_trouble { "on" } else { "off" }));
    let verdict = match name.as_str() {
        "resumed-twice" => resumed_twice::play(&record, has_trouble),
        "unreadable-entry" => unreadable_entry::play(&record, has_trouble),
        "cut-watches" => cut_watches::play(&record, has_trouble),
        "late-crash" => late_crash::play(&record, has_trouble),
        "streams-after-kill" => streams_after_kill::play(&record, has_trouble),
        "stale-seeds" => stale_seeds::play(&record, has_trouble),
        "silent-store" => silent_store::play(&record, has_trouble),
        "large-configs" => large_configs::play(&record, has_trouble),
        _ => Err(format!("there is no case {name}").into()),
    };
    match verdict {
        Ok(Verdict::Held) => {
            record.line("RESULT: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken(what)) => {
            record.line(&format!("RESULT: the rule was broken: {what}"));
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(&format!("RESULT: the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
