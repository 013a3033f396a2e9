use crate::report::Report;
use crate::scenario::Scenario;
use crate::{Error, Result};
use plotters::prelude::*;

const SIZE: (u32, u32) = (720, 420);
const MARGIN: u32 = 16;
const LABELS: u32 = 48;

/// Plots the duration of each step over the time of its submission, with one line per seed and
/// trainer. The black line shows the latest due time of the trainers.
///
/// # Errors
///
/// [`Error::Plot`] if the plotting library fails.
pub fn render_svg(report: &Report, scenario: &Scenario) -> Result<String> {
    let mut text = String::new();
    draw(report, scenario, &mut text).map_err(|error| Error::Plot(error.to_string()))?;
    Ok(text)
}

fn draw(
    report: &Report,
    scenario: &Scenario,
    text: &mut String,
) -> std::result::Result<(), Box<dyn std::error::Error>> {
    let end = scenario.duration_ms as f64 / 1e3;
    let seconds = |ms: u64| ms as f64 / 1e3;
    let mut lines: Vec<Vec<(f64, f64)>> = Vec::new();
    for run in &report.runs {
        for trainer in 0..scenario.trainers.len() {
            let steps = run.steps.iter().filter(|step| step.trainer == trainer);
            let point = |step: &crate::Step| {
                let took = step.ended_ms? - step.submitted_ms;
                Some((seconds(step.submitted_ms), seconds(took)))
            };
            lines.push(steps.filter_map(point).collect());
        }
    }
    let due = scenario.trainers.iter().map(|trainer| trainer.due_ms).max();
    let due = seconds(due.unwrap_or(0));
    let highest = lines.iter().flatten().map(|(_, took)| *took);
    let highest = highest.fold(due, f64::max) * 1.1;
    let area = SVGBackend::with_string(text, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(MARGIN)
        .set_label_area_size(LabelAreaPosition::Left, LABELS)
        .set_label_area_size(LabelAreaPosition::Bottom, LABELS)
        .build_cartesian_2d(0.0..end, 0.0..highest)?;
    chart
        .configure_mesh()
        .x_desc("submitted, s")
        .y_desc("until the end of the step, s")
        .draw()?;
    chart.draw_series(LineSeries::new([(0.0, due), (end, due)], BLACK))?;
    for (number, line) in lines.into_iter().enumerate() {
        let color = Palette99::pick(number).mix(0.8);
        chart.draw_series(LineSeries::new(line, color))?;
    }
    area.present()?;
    Ok(())
}
