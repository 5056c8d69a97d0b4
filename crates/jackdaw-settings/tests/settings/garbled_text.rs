//! Property tests: malformed settings are rejected with errors and never cause a panic.

use jackdaw_base::ErrorKind;
use jackdaw_settings::{AgentSettings, RouterSettings, SettingsErrors};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 2026;
const SIZE: usize = 60;
const CASES: u64 = 400;
const EXAMPLES: [&str; 2] = [
    include_str!("../../../../examples/router.ini"),
    include_str!("../../../../examples/agent.ini"),
];

fn checker() -> QuickCheck {
    println!("seed {SEED}");
    QuickCheck::new().tests(CASES).rng(Gen::from_size_and_seed(SIZE, SEED))
}

/// Returns whether each reader either accepts the text or reports at least one error.
fn parses_or_fails_cleanly(text: &str) -> bool {
    let errors =
        [RouterSettings::parse("any.ini", text).err(), AgentSettings::parse("any.ini", text).err()];
    errors.into_iter().flatten().all(|report| {
        let errors = report.downcast_ref::<SettingsErrors>();
        *report.current_context() == ErrorKind::SettingsInvalid
            && errors.is_some_and(|errors| !errors.0.is_empty())
    })
}

#[test]
fn any_text_parses_or_fails_cleanly() {
    fn holds(text: Vec<char>) -> bool {
        parses_or_fails_cleanly(&text.into_iter().collect::<String>())
    }
    checker().quickcheck(holds as fn(Vec<char>) -> bool);
}

#[test]
fn spliced_example_parses_or_fails_cleanly() {
    fn holds(at: usize, cut: usize, insert: Vec<char>) -> bool {
        let example = EXAMPLES[at % EXAMPLES.len()];
        let start = example.floor_char_boundary(at / 2 % example.len());
        let end = example.floor_char_boundary((start + cut % SIZE).min(example.len()));
        let insert = insert.into_iter().collect::<String>();
        parses_or_fails_cleanly(&format!("{}{insert}{}", &example[..start], &example[end..]))
    }
    checker().quickcheck(holds as fn(usize, usize, Vec<char>) -> bool);
}

/// Guards against settings of a router being accepted as settings of an agent, or the reverse.
#[test]
fn no_example_fits_both() {
    for example in EXAMPLES {
        let router = RouterSettings::parse("any.ini", example).is_ok();
        assert_ne!(router, AgentSettings::parse("any.ini", example).is_ok());
    }
}
