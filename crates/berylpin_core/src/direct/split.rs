//! Weighted choice between the services of a route.

use super::view::RouteId;
use crate::ids::ServiceId;

/// The credit of each service of one route.
#[derive(Debug)]
struct Credits {
    route: RouteId,
    /// In the order of the route's services; the sum stays 0.
    credits: Vec<f64>,
}

/// Smooth weighted round robin: over any run of requests each service gets its share to within one.
#[derive(Debug, Default)]
pub(super) struct Splits {
    /// Sorted by route.
    routes: Vec<Credits>,
}

impl Splits {
    /// Chooses a service of a route; `None` if all weights are 0.
    pub(super) fn choose(
        &mut self,
        route: RouteId,
        parts: &[(ServiceId, f64)],
    ) -> Option<ServiceId> {
        if let [(service, _)] = parts {
            return Some(*service);
        }
        let total: f64 = parts.iter().map(|(_, weight)| weight.max(0.0)).sum();
        if total <= 0.0 {
            return None;
        }
        let index = match self.routes.binary_search_by_key(&route, |entry| entry.route) {
            Ok(index) => index,
            Err(index) => {
                self.routes.insert(index, Credits { route, credits: Vec::new() });
                index
            }
        };
        let credits = &mut self.routes[index].credits;
        if credits.len() != parts.len() {
            *credits = vec![0.0; parts.len()];
        }
        for (credit, (_, weight)) in credits.iter_mut().zip(parts) {
            *credit += weight.max(0.0);
        }
        let best = (0..parts.len()).max_by(|a, b| credits[*a].total_cmp(&credits[*b]))?;
        credits[best] -= total;
        Some(parts[best].0)
    }

    /// Forgets the routes that `keep` turns down.
    pub(super) fn retain<F>(&mut self, keep: F)
    where
        F: Fn(RouteId) -> bool,
    {
        self.routes.retain(|entry| keep(entry.route));
    }
}

#[cfg(test)]
mod tests;
