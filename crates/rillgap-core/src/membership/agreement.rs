//! Determines the latest view that joint majorities have confirmed.
//!
//! A view is agreed once a majority of the members of every view since the last agreed one has
//! confirmed it or a later one. It is confirmed by all once no member of any view since the last
//! activated one can vote under an earlier view any more.

use crate::id::ViewVersion;
use crate::view::View;

use super::change::ChangeLog;
use super::digest::DigestTable;

/// Returns the latest view that a majority of the members of every view since `agreed` has
/// confirmed, or `agreed` if there is no later one.
///
/// A vote under a view U requires recent evidence that a majority of U's members had confirmed no
/// later view. The joint majorities include a majority of the members of every view from `agreed`
/// on, and U is one of these views. Two majorities of U share a member, so a later view cannot be
/// agreed while the evidence for votes under U holds.
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

/// Returns whether every member of every view since `activated` has confirmed `view` or a later
/// one, or has ended.
///
/// A node never returns to an earlier view, and no node votes under views before an activated one.
/// So no node votes under any view before `view` any more, and it may be activated at once, without
/// the wait for the vote lease.
pub fn is_confirmed_by_all(
    log: &ChangeLog,
    table: &DigestTable,
    view: &View,
    activated: ViewVersion,
) -> bool {
    let mut removals = log
        .between(activated, view.version)
        .flat_map(|change| &change.removed);
    let confirmed = table.confirmed_views(log, view.version, view.version) as usize;
    log.covers(activated)
        && removals.all(|removal| removal.ended)
        && confirmed == view.members.len()
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

/// Returns whether a majority of the members of `earlier` has confirmed `candidate` or a later
/// view. Incarnations that are known to have ended since `earlier` are not counted.
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
