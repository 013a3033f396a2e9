//! Guards against steps with long texts that wait while replicas of other models are free.

use dogwoodlb_emulator::{simulate, Scenario};
use std::fs;
use std::path::Path;

/// Nine in ten steps of each trainer are complete when they are due, although two of the four have
/// texts that take almost all of that time.
#[test]
fn long_steps_end_in_time() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let text = fs::read_to_string(folder.join("atlas-calm.jsonc")).unwrap();
    let scenario = Scenario::parse(&text).unwrap();
    let runs = scenario.seeds.iter().map(|seed| simulate(&scenario, *seed));
    let steps: Vec<_> = runs.flat_map(|run| run.steps).collect();
    for (index, trainer) in scenario.trainers.iter().enumerate() {
        let own = steps.iter().filter(|step| step.trainer == index);
        let is_in_time =
            |ended_ms: u64, submitted_ms: u64| ended_ms - submitted_ms <= trainer.due_ms;
        let (in_time, all) = own.fold((0, 0), |(in_time, all), step| {
            let ended = step.ended_ms;
            let ended = ended.is_some_and(|ended| is_in_time(ended, step.submitted_ms));
            (in_time + usize::from(ended), all + 1)
        });
        assert!(
            in_time * 10 >= all * 9,
            "{}: {in_time} of {all}",
            trainer.model
        );
    }
}
