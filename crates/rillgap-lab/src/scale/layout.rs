//! Names, places and policy of a synthetic deployment of any size.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use rillgap_core::admission::AdmissionSettings;
use rillgap_core::id::{
    BackEndName, Incarnation, NodeName, PolicyVersion, RegionName, ServiceName, ZoneName,
};
use rillgap_core::node::{LocalBackEnd, NodeSettings, SeedPeer};
use rillgap_core::policy::{
    BackEndPolicy, BackEndState, Bounds, Class, Policy, RoutePolicy, ServicePolicy,
};

/// Zones of each region.
const ZONES_OF_REGIONS: [usize; 6] = [4, 4, 4, 4, 3, 3];
/// Most services; smaller deployments have one for every [`BACK_ENDS_PER_SERVICE`] nodes.
const MAX_SERVICES: usize = 140;
/// Back ends of a service in smaller deployments.
const BACK_ENDS_PER_SERVICE: usize = 13;

/// Where a host stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Position of the region.
    pub region: usize,
    /// Position of the zone among all zones.
    pub zone: usize,
}

/// A deployment of some number of nodes in 22 zones of 6 regions.
#[derive(Clone, Copy, Debug)]
pub struct Layout {
    /// Number of nodes.
    pub nodes: usize,
}

impl Layout {
    /// Number of zones.
    pub fn zones() -> usize {
        ZONES_OF_REGIONS.iter().sum()
    }

    /// Number of regions.
    pub const fn regions() -> usize {
        ZONES_OF_REGIONS.len()
    }

    /// Returns where a host stands; hosts are dealt to the zones in turn.
    pub fn place(self, host: usize) -> Place {
        let zone = host % Self::zones();
        let mut first = 0;
        for (region, zones) in ZONES_OF_REGIONS.iter().enumerate() {
            if zone < first + zones {
                return Place { region, zone };
            }
            first += zones;
        }
        Place { region: 0, zone }
    }

    /// Returns the number of services.
    pub fn services(self) -> usize {
        self.nodes
            .div_ceil(BACK_ENDS_PER_SERVICE)
            .clamp(1, MAX_SERVICES)
    }

    /// Returns the name of a host's node.
    pub fn name(self, host: usize) -> NodeName {
        NodeName::new(format!("node-{}", self.back_end(host)))
    }

    fn back_end(self, host: usize) -> BackEndName {
        let service = host % self.services();
        let number = host / self.services() + 1;
        BackEndName::new(format!("service-{service:03}-{number}"))
    }

    fn service(self, host: usize) -> ServiceName {
        ServiceName::new(format!("service-{:03}", host % self.services()))
    }

    /// Returns the hosts that others of the region ask first.
    pub fn seeds(self, region: usize) -> Vec<usize> {
        let hosts = 0..self.nodes;
        let mut seeds: Vec<usize> = hosts
            .filter(|host| self.place(*host).region == region)
            .take(2)
            .collect();
        seeds.push(if region == 0 { self.nodes - 1 } else { 0 });
        seeds
    }

    /// Returns the settings of one run of a host.
    pub fn settings(self, host: usize, run: u32, seed: u64) -> NodeSettings {
        let place = self.place(host);
        let seeds = self.seeds(place.region).into_iter();
        NodeSettings {
            name: self.name(host),
            zone: ZoneName::new(format!("zone-{:02}", place.zone)),
            region: RegionName::new(format!("region-{}", place.region)),
            incarnation: Incarnation(incarnation(host, run, seed)),
            random_seed: seed ^ incarnation(host, run, 0),
            mesh_address: mesh_address(host),
            back_end: Some(LocalBackEnd {
                name: self.back_end(host),
                service: self.service(host),
            }),
            seeds: seeds
                .map(|seed| SeedPeer {
                    name: self.name(seed),
                    mesh_address: mesh_address(seed),
                })
                .collect(),
            initial_view: None,
            initial_policy: None,
            admission: AdmissionSettings::default(),
        }
    }

    /// Returns a policy that names all services and back ends.
    pub fn policy(self) -> Policy {
        let services = (0..self.services()).map(|host| ServicePolicy {
            name: self.service(host),
            slots: 12,
            connections: 110,
            queue_millis: 200,
        });
        let routes = (0..self.services()).map(|host| RoutePolicy {
            service: self.service(host),
            method: "POST".to_owned(),
            path: "/".to_owned(),
            class: Class::Critical,
            repeatable: false,
            deadline_millis: 2_000,
        });
        let back_ends = (0..self.nodes).map(|host| BackEndPolicy {
            name: self.back_end(host),
            service: self.service(host),
            node: self.name(host),
            state: BackEndState::Serving,
        });
        Policy {
            version: PolicyVersion::default(),
            change: 0,
            bounds: Bounds::default(),
            services: services.collect(),
            routes: routes.collect(),
            back_ends: back_ends.collect(),
        }
    }
}

/// Returns the incarnation of one run of a host.
pub fn incarnation(host: usize, run: u32, seed: u64) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::with_seed(seed);
    hasher.update(&host.to_le_bytes());
    hasher.update(&run.to_le_bytes());
    hasher.digest()
}

fn mesh_address(host: usize) -> SocketAddr {
    let number = u32::try_from(host).unwrap_or(u32::MAX);
    let address = Ipv4Addr::from(0x0a00_0001_u32.saturating_add(number));
    SocketAddr::new(IpAddr::V4(address), 7000)
}
