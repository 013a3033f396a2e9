//! What a failed test prints about its cluster.

use crate::cluster::Cluster;
use serde_json::Value;

/// The last timeline events that are printed of each node.
const MAX_EVENTS: usize = 40;

/// The table's rows that are printed, by their prefixes.
const PREFIXES: [&str; 2] = ["lease%2F", "trainer%2F"];

impl Cluster {
    /// Prints the rows of leases and trainers, and the state and last events of each node.
    pub(crate) fn print_state(&self) {
        for prefix in PREFIXES {
            let rows = self.get(self.table, &format!("/rows?prefix={prefix}"));
            print_list(&format!("rows {prefix}"), rows.as_ref(), "rows", usize::MAX);
        }
        for node in &self.nodes {
            if node.process.is_none() {
                eprintln!("--- {}: no process", node.vm);
                continue;
            }
            // A stopped process doesn't answer.
            let Some(status) = self.get(node.address, "/v1/status") else {
                eprintln!("--- {}: no answer", node.vm);
                continue;
            };
            eprintln!("--- {}: {status}", node.vm);
            let timeline = self.get(node.address, "/v1/timeline");
            let title = format!("timeline of {}", node.vm);
            print_list(&title, timeline.as_ref(), "events", MAX_EVENTS);
        }
    }
}

/// Prints the last items of a list, one a line.
fn print_list(title: &str, answer: Option<&Value>, field: &str, limit: usize) {
    let items = answer.and_then(|answer| answer[field].as_array());
    let items = items.map_or(&[][..], Vec::as_slice);
    eprintln!("--- {title}: {}", items.len());
    for item in &items[items.len().saturating_sub(limit)..] {
        eprintln!("{item}");
    }
}
