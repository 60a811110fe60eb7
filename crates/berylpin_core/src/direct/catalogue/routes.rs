//! The routes and limits of a view, from a configuration that may have odd values.

use super::Catalogue;
use crate::direct::configuration::{ClientLimits, RouteConfig, RouteTarget};
use crate::direct::view::{Route, Target};
use crate::ids::ServiceId;
use std::sync::Arc;
use std::time::Duration;

/// The maximum of all times in a configuration. Longer ones could not be added to a point in time.
pub(in crate::direct) const MAX_CONFIGURED_TIME: Duration = Duration::from_hours(24);

impl Catalogue {
    /// Builds a route of the configuration; values that no configuration needs are bounded.
    pub(super) fn build_route(&self, route: &RouteConfig) -> Route {
        let target = match &route.target {
            RouteTarget::Split(parts) => {
                Target::Split(parts.iter().map(|(name, w)| (self.service_id(name), *w)).collect())
            }
            RouteTarget::Shards { services, limit, min_coverage } => {
                let services = unique(services.iter().map(|name| self.service_id(name)));
                let min_parts = min_parts(services.len(), *min_coverage);
                Target::Shards { services, limit: *limit, min_parts }
            }
        };
        let position = self.routes.binary_search_by(|(name, _)| (**name).cmp(&*route.name));
        let (name, id) = &self.routes[position.expect("every configured route has an id")];
        Route {
            id: *id,
            name: name.clone(),
            host: Arc::from(&*route.host),
            prefix: Arc::from(&*route.prefix),
            target,
            idempotent: route.idempotent,
            timeout: route.timeout.min(MAX_CONFIGURED_TIME),
            target_latency: route.target_latency.min(MAX_CONFIGURED_TIME),
            max_attempts: route.max_attempts.max(1),
            priority_index: route.priority_index,
        }
    }
}

/// Returns each service once, because the parts of one service would count twice in an answer.
fn unique<I>(services: I) -> Vec<ServiceId>
where
    I: Iterator<Item = ServiceId>,
{
    let mut unique = Vec::new();
    for service in services {
        if !unique.contains(&service) {
            unique.push(service);
        }
    }
    unique
}

/// Bounds the times of limits.
pub(super) fn bounded_limits(limits: ClientLimits) -> ClientLimits {
    ClientLimits {
        header_timeout: limits.header_timeout.min(MAX_CONFIGURED_TIME),
        idle_timeout: limits.idle_timeout.min(MAX_CONFIGURED_TIME),
        ..limits
    }
}

/// Returns how many of `count` shards are needed for a coverage of at least `min_coverage`.
pub(super) fn min_parts(count: usize, min_coverage: f64) -> usize {
    /// Prevents a product such as 0.95 x 20 from being rounded up because of its rounding error.
    const ROUNDING_TOLERANCE: f64 = 1e-9;
    let needed = (count as f64 * min_coverage - ROUNDING_TOLERANCE).ceil().max(1.0);
    (needed as usize).min(count.max(1))
}
