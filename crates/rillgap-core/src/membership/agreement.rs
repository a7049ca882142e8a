//! Which views joint majorities have confirmed.

use crate::id::ViewVersion;
use crate::view::View;

use super::change::ChangeLog;
use super::digest::DigestTable;

/// Returns the latest view that majorities of the members of every view from `agreed` on have
/// confirmed, or `agreed` if there is no later one.
///
/// A vote under some view U needs fresh evidence that a majority of U's members had confirmed
/// nothing later. The joint majorities contain a majority of U's members, whichever of the
/// views in between U is, so that both cannot be true at the same time.
pub fn latest_agreed(
    log: &ChangeLog,
    table: &DigestTable,
    view: &View,
    agreed: ViewVersion,
) -> ViewVersion {
    if !log.covers(agreed) {
        return agreed;
    }
    let mut candidate = view.version;
    while candidate > agreed {
        if is_agreed(log, table, view, agreed, candidate) {
            return candidate;
        }
        candidate = ViewVersion(candidate.0 - 1);
    }
    agreed
}

fn is_agreed(
    log: &ChangeLog,
    table: &DigestTable,
    view: &View,
    agreed: ViewVersion,
    candidate: ViewVersion,
) -> bool {
    (agreed.0..=candidate.0)
        .rev()
        .map(ViewVersion)
        .all(|earlier| has_majority(log, table, view, earlier, candidate))
}

/// Returns whether a majority of the members of `earlier`, not counting runs that have surely
/// ended since, have confirmed `candidate` or a later view.
fn has_majority(
    log: &ChangeLog,
    table: &DigestTable,
    view: &View,
    earlier: ViewVersion,
    candidate: ViewVersion,
) -> bool {
    let size = log.size_at(earlier, view.members.len());
    let remaining = size.saturating_sub(log.ended(earlier, view.version));
    let confirmed = table.confirmed_views(log, earlier, candidate) as usize;
    remaining == 0 || 2 * confirmed > remaining
}
