//! Cases of the review: `review-standins CASE FOLDER`, run in the repository.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod big_bodies;
mod engine;
mod fleet;
mod late_extra;
mod rolling_restart;
mod silent_store;
mod slow_readers;
mod store;
mod unframed_crash;
mod wire;

use std::path::Path;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let words: Vec<&str> = args.iter().skip(1).map(String::as_str).collect();
    let is_broken = match words.as_slice() {
        ["big-bodies", folder] => big_bodies::run(Path::new(folder)),
        ["late-extra", folder] => late_extra::run(Path::new(folder)),
        ["rolling-restart", folder] => rolling_restart::run(Path::new(folder)),
        ["slow-readers", folder] => slow_readers::run(Path::new(folder)),
        ["silent-store", folder] => silent_store::run(Path::new(folder)),
        ["unframed-crash", folder] => unframed_crash::run(Path::new(folder)),
        ["engine", rest @ ..] => unframed_crash::run_engine(rest),
        _ => {
            eprintln!("usage: review-standins CASE FOLDER");
            std::process::exit(2);
        }
    };
    std::process::exit(i32::from(is_broken));
}
