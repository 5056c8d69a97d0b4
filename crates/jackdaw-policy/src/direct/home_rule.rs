//! Regions to which the requests of a route or a customer are confined.

use std::collections::HashMap;

/// Regions of the failure domains; domains that are not listed are in no known region.
pub type DomainRegions = HashMap<String, String>;

/// Regions in which the targets of a request must be. An empty list allows all regions; if both lists
/// name regions, both bind.
#[derive(Debug, Clone, Copy, Default)]
pub struct HomeRule<'a> {
    /// Home regions of the route.
    pub route: &'a [String],
    /// Home regions of the customer.
    pub customer: &'a [String],
}

impl HomeRule<'_> {
    /// Returns whether targets everywhere are allowed.
    pub fn is_open(&self) -> bool {
        self.route.is_empty() && self.customer.is_empty()
    }

    /// Returns whether targets in a failure domain are allowed. A domain of an unknown region is
    /// allowed only where all regions are.
    pub fn allows(&self, regions: &DomainRegions, domain: &str) -> bool {
        let region = regions.get(domain);
        let allows = |homes: &[String]| {
            homes.is_empty() || region.is_some_and(|region| homes.contains(region))
        };
        allows(self.route) && allows(self.customer)
    }
}
