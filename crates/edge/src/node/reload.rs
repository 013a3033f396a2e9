//! Changed settings of a running node.

use crate::context::NodeContext;
use crate::settings::Settings;

/// Applies changed settings. New seeds take effect at once; all other changes need a restart.
pub(super) fn reload(context: &NodeContext, settings: &Settings) {
    for contact in settings.seed_peers() {
        context.peers.add_contact(contact);
    }
    let needs_restart = Settings {
        seeds: context.settings.seeds.clone(),
        ..settings.clone()
    } != *context.settings;
    tracing::info!(
        needs_start = needs_restart,
        outcome = "applied",
        "settings_reloaded"
    );
}
