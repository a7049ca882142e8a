//! Loads a settings file and validates it key by key.

use std::path::Path;
use std::time::Duration;

use rillgap_backend::settings::BackEndSettings;
use rillgap_caller::settings::HttpLimits;
use rillgap_core::id::{BackEndName, Incarnation, NodeName, RegionName, ServiceName, ZoneName};
use rillgap_core::node::{LocalBackEnd, SeedPeer};
use rillgap_core::policy::Policy;
use rillgap_core::view::Member;

use super::check::Checker;
use super::file::{
    BackEndSection, FixedSection, LimitsSection, ListenSection, MemberSection, SeedSection,
    SettingsFile, StoreSection,
};
use super::toml::read;
use super::{
    FixedDeployment, ListenSettings, LocalBackEndSettings, Overrides, Settings, SettingsError,
};

/// Maximum of `limits.body-bytes`: a request body and its headers must fit into one mesh frame.
const MAX_BODY_BYTES: u64 = 786_432;

/// Reads and validates a settings file; `overrides` replace values of the file.
///
/// # Errors
///
/// Returns an error that names the file, the key, its value and the allowed values.
pub fn load(path: &Path, overrides: &Overrides) -> Result<Settings, SettingsError> {
    let mut file: SettingsFile = read(path)?;
    override_values(&mut file, overrides);
    let checker = Checker::new(path);
    let fixed = match &file.fixed {
        Some(section) => Some(check_fixed(&checker, section, path)?),
        None => None,
    };
    let back_end = match &file.back_end {
        Some(section) => Some(check_back_end(&checker, section)?),
        None => None,
    };
    let listen = check_listen(&checker, &file.listen)?;
    if back_end.is_some() && listen.outbound.is_none() {
        return Err(checker.missing("listen.outbound"));
    }
    let limits = &file.limits;
    Ok(Settings {
        name: NodeName::new(checker.name("node.name", &file.node.name)?),
        zone: ZoneName::new(checker.name("node.zone", &file.node.zone)?),
        region: RegionName::new(checker.name("node.region", &file.node.region)?),
        listen,
        back_end,
        seeds: check_seeds(&checker, &file.seed)?,
        store_endpoints: check_store(&checker, file.store.as_ref(), fixed.is_some())?,
        fixed,
        http: check_http(&checker, limits)?,
        mesh_connections: checker.count(
            "limits.mesh-connections",
            limits.mesh_connections,
            1..=65_535,
        )?,
        stop_timeout: Duration::from_secs(checker.number(
            "limits.stop-timeout-seconds",
            limits.stop_timeout_seconds,
            1..=3_600,
        )?),
        threads: file.threads.layout,
    })
}

fn override_values(file: &mut SettingsFile, overrides: &Overrides) {
    let values = [
        (&mut file.node.name, &overrides.name),
        (&mut file.node.zone, &overrides.zone),
        (&mut file.listen.callers, &overrides.callers),
        (&mut file.listen.mesh, &overrides.mesh),
    ];
    for (value, replacement) in values {
        if let Some(replacement) = replacement {
            value.clone_from(replacement);
        }
    }
}

fn check_listen(
    checker: &Checker<'_>,
    section: &ListenSection,
) -> Result<ListenSettings, SettingsError> {
    let optional = |key: &str, value: &Option<String>| {
        value
            .as_deref()
            .map(|value| checker.address(key, value))
            .transpose()
    };
    Ok(ListenSettings {
        callers: checker.address("listen.callers", &section.callers)?,
        outbound: optional("listen.outbound", &section.outbound)?,
        mesh: checker.address("listen.mesh", &section.mesh)?,
        operator: optional("listen.operator", &section.operator)?,
        metrics: optional("listen.metrics", &section.metrics)?,
    })
}

fn check_back_end(
    checker: &Checker<'_>,
    section: &BackEndSection,
) -> Result<LocalBackEndSettings, SettingsError> {
    let address = checker.address("back-end.address", &section.address)?;
    let source_addresses = match &section.source_addresses {
        Some(addresses) => addresses
            .iter()
            .map(|value| checker.ip("back-end.source-addresses", value))
            .collect::<Result<_, _>>()?,
        None => vec![address.ip()],
    };
    let health_path = section
        .health_path
        .as_deref()
        .map(|value| checker.url_path("back-end.health-path", value))
        .transpose()?;
    let connect_timeout = checker.number(
        "back-end.connect-timeout-millis",
        section.connect_timeout_millis,
        10..=30_000,
    )?;
    let health_interval = checker.number(
        "back-end.health-interval-millis",
        section.health_interval_millis,
        100..=60_000,
    )?;
    Ok(LocalBackEndSettings {
        identity: LocalBackEnd {
            name: BackEndName::new(checker.name("back-end.name", &section.name)?),
            service: ServiceName::new(checker.name("back-end.service", &section.service)?),
        },
        client: BackEndSettings {
            address,
            connections: checker.count("back-end.connections", section.connections, 1..=65_535)?,
            connect_timeout: Duration::from_millis(connect_timeout),
            health_path,
            health_interval: Duration::from_millis(health_interval),
        },
        source_addresses,
    })
}

fn check_seeds(
    checker: &Checker<'_>,
    sections: &[SeedSection],
) -> Result<Vec<SeedPeer>, SettingsError> {
    sections
        .iter()
        .map(|section| {
            Ok(SeedPeer {
                name: NodeName::new(checker.name("seed.name", &section.name)?),
                mesh_address: checker.address("seed.mesh", &section.mesh)?,
            })
        })
        .collect()
}

fn check_store(
    checker: &Checker<'_>,
    section: Option<&StoreSection>,
    is_fixed: bool,
) -> Result<Vec<std::net::SocketAddr>, SettingsError> {
    let Some(section) = section else {
        return if is_fixed {
            Ok(Vec::new())
        } else {
            Err(checker.missing("store.endpoints"))
        };
    };
    if section.endpoints.is_empty() {
        return Err(checker.not_allowed("store.endpoints", "[]", "at least one IP:port"));
    }
    section
        .endpoints
        .iter()
        .map(|value| checker.address("store.endpoints", value))
        .collect()
}

fn check_http(checker: &Checker<'_>, limits: &LimitsSection) -> Result<HttpLimits, SettingsError> {
    let request_timeout = checker.number(
        "limits.request-timeout-millis",
        limits.request_timeout_millis,
        100..=600_000,
    )?;
    Ok(HttpLimits {
        connections: checker.count("limits.connections", limits.connections, 1..=65_535)?,
        header_bytes: checker.count("limits.header-bytes", limits.header_bytes, 1_024..=49_152)?,
        body_bytes: checker.count("limits.body-bytes", limits.body_bytes, 0..=MAX_BODY_BYTES)?,
        receiving_bytes: checker.count(
            "limits.receiving-bytes",
            limits.receiving_bytes,
            MAX_BODY_BYTES..=1_073_741_824,
        )?,
        request_timeout: Duration::from_millis(request_timeout),
    })
}

fn check_fixed(
    checker: &Checker<'_>,
    section: &FixedSection,
    settings_path: &Path,
) -> Result<FixedDeployment, SettingsError> {
    let directory = settings_path.parent().unwrap_or(Path::new("."));
    let policy: Policy = read(&directory.join(&section.policy_file))?;
    let incarnation = Incarnation(section.incarnation);
    let members = section
        .member
        .iter()
        .map(|member| check_member(checker, member, incarnation))
        .collect::<Result<_, _>>()?;
    Ok(FixedDeployment {
        incarnation,
        members,
        policy,
    })
}

fn check_member(
    checker: &Checker<'_>,
    section: &MemberSection,
    incarnation: Incarnation,
) -> Result<Member, SettingsError> {
    Ok(Member {
        name: NodeName::new(checker.name("fixed.member.name", &section.name)?),
        zone: ZoneName::new(checker.name("fixed.member.zone", &section.zone)?),
        region: RegionName::new(checker.name("fixed.member.region", &section.region)?),
        incarnation,
        mesh_address: checker.address("fixed.member.mesh", &section.mesh)?,
    })
}
