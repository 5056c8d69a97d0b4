//! Garbled settings are refused with faults, whatever they are.

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

/// Returns whether both readers take the text or refuse it with at least one fault.
fn is_answered(text: &str) -> bool {
    let faults =
        [RouterSettings::parse("any.ini", text).err(), AgentSettings::parse("any.ini", text).err()];
    faults.into_iter().flatten().all(|report| {
        let faults = report.downcast_ref::<SettingsErrors>();
        *report.current_context() == ErrorKind::SettingsInvalid
            && faults.is_some_and(|faults| !faults.0.is_empty())
    })
}

#[test]
fn any_text_is_answered() {
    fn holds(text: Vec<char>) -> bool {
        is_answered(&text.into_iter().collect::<String>())
    }
    checker().quickcheck(holds as fn(Vec<char>) -> bool);
}

#[test]
fn spliced_example_is_answered() {
    fn holds(at: usize, cut: usize, insert: Vec<char>) -> bool {
        let example = EXAMPLES[at % EXAMPLES.len()];
        let start = example.floor_char_boundary(at / 2 % example.len());
        let end = example.floor_char_boundary((start + cut % SIZE).min(example.len()));
        let insert = insert.into_iter().collect::<String>();
        is_answered(&format!("{}{insert}{}", &example[..start], &example[end..]))
    }
    checker().quickcheck(holds as fn(usize, usize, Vec<char>) -> bool);
}

/// A text that both readers take would mix up routers and agents.
#[test]
fn no_text_fits_both() {
    for example in EXAMPLES {
        let router = RouterSettings::parse("any.ini", example).is_ok();
        assert_ne!(router, AgentSettings::parse("any.ini", example).is_ok());
    }
}
