//! Handlers that report daemons, revisions and routing.

use super::{AdminState, problem_response, stopping_response};
use crate::control::ControlMail;
use crate::http::reply::json;
use berylpin_core::control::{Controller, MemberReport, MemberState, View};
use berylpin_core::ids::MemberTag;
use berylpin_wire::admin::{InForce, MemberBody, MemberList, RoutedReplica, Routing};
use poem::http::StatusCode;
use poem::web::{Data, Path};
use poem::{Response, handler};
use std::time::Duration;
use tokio::time::sleep;

/// Interval between two checks whether all daemons have reported a revision.
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of checks; a daemon that has not reported the revision by then is returned as
/// behind.
const MAX_IN_FORCE_POLLS: u32 = 20;

/// Handles `GET /v1/members`.
#[handler]
pub(super) async fn list_members(state: Data<&AdminState>) -> Response {
    match state.control.inspect(member_list).await {
        Some(list) => json(StatusCode::OK, &list),
        None => stopping_response(),
    }
}

/// Handles `GET /v1/revision/{revision}`; pings the daemons that have not reported it yet.
#[handler]
pub(super) async fn get_revision(state: Data<&AdminState>, Path(requested): Path<u64>) -> Response {
    state.control.try_send(ControlMail::CheckRevision(requested));
    for poll in 1.. {
        let read = move |controller: &Controller| revision_status(controller, requested);
        let Some(body) = state.control.inspect(read).await else { break };
        if body.behind.is_empty() || poll >= MAX_IN_FORCE_POLLS {
            return json(StatusCode::OK, &body);
        }
        sleep(IN_FORCE_POLL_INTERVAL).await;
    }
    stopping_response()
}

/// Handles `GET /v1/routing/{target}`.
#[handler]
pub(super) fn get_routing(state: Data<&AdminState>, Path(target): Path<String>) -> Response {
    let view = state.view.borrow().clone();
    if let Some(body) = routing(&view, &target) {
        return json(StatusCode::OK, &body);
    }
    problem_response(StatusCode::NOT_FOUND, format!("no service or group is named `{target}`"))
}

fn member_list(controller: &Controller) -> MemberList {
    let view = controller.view();
    let body = |tag: MemberTag, report: &MemberReport, revision: u64| {
        let id = view.member(tag);
        let owned = view.owners.iter().filter(|(_, owner)| id.is_some() && **owner == id);
        MemberBody {
            name: report.name.to_string(),
            data_centre: report.data_centre.to_string(),
            state: report.state.name().to_owned(),
            revision,
            owned_replicas: owned.count() as u32,
        }
    };
    let membership = controller.membership();
    let revision = controller.documents().revision();
    let mut members = vec![body(membership.own_tag(), membership.own(), revision)];
    members.extend(membership.peers().map(|peer| body(peer.tag, &peer.report, peer.revision)));
    members.sort_by(|a, b| a.name.cmp(&b.name));
    MemberList { members }
}

/// Splits the daemons that are not dead into those where a revision is in force and those behind.
fn revision_status(controller: &Controller, requested: u64) -> InForce {
    let membership = controller.membership();
    let own = (membership.own().name.to_string(), controller.documents().revision());
    let peers = membership.peers().filter(|peer| peer.report.state != MemberState::Dead);
    let mut revisions: Vec<(String, u64)> =
        peers.map(|peer| (peer.report.name.to_string(), peer.revision)).collect();
    revisions.push(own);
    revisions.sort_unstable();
    let (in_force, behind): (Vec<_>, Vec<_>) =
        revisions.into_iter().partition(|(_, revision)| *revision >= requested);
    let names = |members: Vec<(String, u64)>| members.into_iter().map(|(name, _)| name).collect();
    InForce { revision: requested, in_force: names(in_force), behind: names(behind) }
}

fn routing(view: &View, target: &str) -> Option<Routing> {
    let (_, shards) = view.topology.target(target)?;
    let mut replicas = Vec::new();
    for &shard in shards {
        let shard = &view.topology.shards[shard];
        for &id in &shard.replicas {
            let settings = &view.topology.replicas[id].settings;
            replicas.push(RoutedReplica {
                service: view.topology.services[shard.service].settings.name.clone(),
                shard: shard.name.clone(),
                address: settings.address,
                data_centre: settings.data_centre.clone(),
                owner: view.owner(id).map(|owner| view.members[owner].name.clone()),
                drain: settings.drain,
                // Only the traffic threads know the snapshots; they do not report them to the
                // control thread.
                newest_snapshot: None,
            });
        }
    }
    Some(Routing { replicas })
}
