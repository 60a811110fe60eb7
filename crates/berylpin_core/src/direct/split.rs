//! Weighted choice between the services of a route.

use super::view::RouteId;
use crate::ids::ServiceId;

/// The credits of the services of one route.
#[derive(Debug)]
struct RouteCredits {
    route: RouteId,
    /// The services and weights for which the credits were earned.
    weights: Vec<(ServiceId, f64)>,
    /// One for each service, in the order of the route; their sum is 0.
    credits: Vec<f64>,
}

/// Smooth weighted round robin: after any number of requests, the number sent to a service differs
/// from its weighted share of them by less than the number of services.
#[derive(Debug, Default)]
pub(super) struct Splits {
    /// Sorted by route.
    routes: Vec<RouteCredits>,
}

impl Splits {
    /// Chooses a service of a route; returns `None` if all weights are 0.
    pub(super) fn choose(
        &mut self,
        route: RouteId,
        weights: &[(ServiceId, f64)],
    ) -> Option<ServiceId> {
        if let [(service, _)] = weights {
            return Some(*service);
        }
        let total: f64 = weights.iter().map(|(_, weight)| weight.max(0.0)).sum();
        if total <= 0.0 {
            return None;
        }
        let index = match self.routes.binary_search_by_key(&route, |entry| entry.route) {
            Ok(index) => index,
            Err(index) => {
                let entry = RouteCredits { route, weights: Vec::new(), credits: Vec::new() };
                self.routes.insert(index, entry);
                index
            }
        };
        let RouteCredits { weights: earned_by, credits, .. } = &mut self.routes[index];
        if earned_by != weights {
            *earned_by = weights.to_vec();
            *credits = vec![0.0; weights.len()];
        }
        for (credit, (_, weight)) in credits.iter_mut().zip(weights) {
            *credit += weight.max(0.0);
        }
        let best = (0..weights.len()).max_by(|a, b| credits[*a].total_cmp(&credits[*b]))?;
        credits[best] -= total;
        Some(weights[best].0)
    }

    /// Removes the routes that `keep` rejects.
    pub(super) fn retain<F>(&mut self, keep: F)
    where
        F: Fn(RouteId) -> bool,
    {
        self.routes.retain(|entry| keep(entry.route));
    }
}

#[cfg(test)]
mod tests;
