//! Property tests of policy files: a written file reads back unchanged, and no input makes the
//! reader panic.

use std::path::{Path, PathBuf};

use proptest::prelude::*;
use rillgap_cli::{difference, policy_file};
use rillgap_core::id::{BackEndName, NodeName, ServiceName};
use rillgap_core::policy::{
    BackEndPolicy, BackEndState, Bounds, Class, Policy, RoutePolicy, ServicePolicy,
};

fn write_file(name: &str, text: &str) -> PathBuf {
    let file = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, text).unwrap();
    file
}

prop_compose! {
    fn bounds()(
        extra_attempts in 0u8..=32,
        calls_per_request in 1u8..=64,
        key_life_seconds in 3_600u32..=86_400,
        retry_percent in 0u8..=100,
    ) -> Bounds {
        Bounds { extra_attempts, calls_per_request, key_life_seconds, retry_percent }
    }
}

prop_compose! {
    fn valid_policy()(
        bounds in bounds(),
        slots in prop::collection::vec(1u16.., 1..8),
        deadline_millis in 1u32..=3_600_000,
        class in prop::sample::select(Class::ALL.to_vec()),
        leaving in any::<bool>(),
        repeatable in any::<bool>(),
    ) -> Policy {
        let services = slots.iter().enumerate().map(|(number, &slots)| ServicePolicy {
            name: ServiceName::new(format!("service-{number}")),
            slots,
            connections: slots,
            queue_millis: 1 + u32::from(slots) % 60_000,
        });
        Policy {
            bounds,
            services: services.collect(),
            routes: vec![RoutePolicy {
                service: ServiceName::new("service-0"),
                method: "POST".to_owned(),
                path: "/bookings".to_owned(),
                class,
                repeatable,
                deadline_millis,
            }],
            back_ends: vec![BackEndPolicy {
                name: BackEndName::new("service-0-1"),
                service: ServiceName::new("service-0"),
                node: NodeName::new("node-1"),
                state: if leaving { BackEndState::Leaving } else { BackEndState::Serving },
            }],
            ..Policy::default()
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    #[test]
    fn written_policy_reads_back_unchanged(policy in valid_policy()) {
        let text = policy_file::write(&policy).unwrap();
        let file = write_file("round-trip.toml", &text);

        let read = policy_file::load(&file).unwrap();

        prop_assert_eq!(&read, &policy);
        prop_assert!(difference::between(&read, &policy).is_empty());
    }

    #[test]
    fn damaged_file_is_rejected_or_valid(
        policy in valid_policy(),
        position in any::<prop::sample::Index>(),
        replacement in "[\\PC\n]{0,4}",
    ) {
        let mut text = policy_file::write(&policy).unwrap();
        let position = position.index(text.len());
        text.replace_range(position..=position, &replacement);
        let file = write_file("damaged.toml", &text);

        if let Ok(read) = policy_file::load(&file) {
            prop_assert!(read.validate().is_ok());
        }
    }
}
