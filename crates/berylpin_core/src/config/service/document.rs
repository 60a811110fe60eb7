//! The schema of service documents.

use super::{ReplicaSettings, ServiceSettings, ShardSettings};
use crate::config::duration::DurationText;
use crate::config::section::{
    EXPECTED_ADDRESS, EXPECTED_BOOL, EXPECTED_INTEGER, EXPECTED_NUMBER, EXPECTED_STRING, Located,
    Problems, Section,
};
use crate::ids::ReplicaTag;
use crate::rank::Rank;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum length of the name of a service, group, shard or data centre, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// Maximum number of shards of a service.
const MAX_SHARDS: usize = 4096;

/// Maximum number of replicas of a shard.
const MAX_REPLICAS: usize = 64;

/// Maximum number of slots of a replica.
const MAX_SLOTS: u16 = 1024;

/// Target latencies of the ranks that `[targets]` omits, indexed by rank.
const DEFAULT_TARGET_LATENCIES: [Duration; Rank::COUNT] =
    [Duration::from_millis(250), Duration::from_secs(1), Duration::from_secs(5)];

/// Minimum shares of the ranks that `[shares]` omits, indexed by rank.
const DEFAULT_MINIMUM_SHARES: [f64; Rank::COUNT] = [0.7, 0.2, 0.1];

/// The minimum coverage of a document without `minimum_coverage`.
const DEFAULT_MINIMUM_COVERAGE: f64 = 0.0;

/// The limit on hedges and retries, as a share of sub-queries, of a document without `extra_load`.
const DEFAULT_EXTRA_LOAD: f64 = 0.05;

/// How far the sum of the shares may exceed 1, since decimal fractions are rounded in binary.
const SHARE_SUM_TOLERANCE: f64 = 1e-9;

/// Reads a document; `None` if the name is missing, or the name or the group is invalid.
pub(super) fn read(mut section: Section<'_>, problems: &mut Problems) -> Option<ServiceSettings> {
    let service = section.required::<String>("service", EXPECTED_STRING, problems);
    let name = service.and_then(|name| check_name("service", name, problems));
    let group = section.optional::<String>("group", EXPECTED_STRING, problems);
    let group = match group {
        Some(group) => check_name("group", group, problems),
        None => name.clone(),
    };
    let minimum_coverage =
        read_share(&mut section, "minimum_coverage", DEFAULT_MINIMUM_COVERAGE, problems);
    let extra_load = read_share(&mut section, "extra_load", DEFAULT_EXTRA_LOAD, problems);
    let target_latencies = read_target_latencies(section.section("targets", problems), problems);
    let minimum_shares = read_minimum_shares(section.section("shares", problems), problems);
    let shards = read_shards(&mut section, name.as_deref().unwrap_or_default(), problems);
    section.reject_unknown_keys(problems);
    Some(ServiceSettings {
        name: name?,
        group: group?,
        minimum_coverage,
        extra_load,
        target_latencies,
        minimum_shares,
        shards,
    })
}

fn read_target_latencies(
    section: Option<Section<'_>>,
    problems: &mut Problems,
) -> [Duration; Rank::COUNT] {
    let mut targets = DEFAULT_TARGET_LATENCIES;
    let Some(mut section) = section else { return targets };
    for (rank, target) in Rank::ALL.into_iter().zip(&mut targets) {
        let key = rank.name();
        let Some(read) = section.optional_as::<Duration, DurationText>(key, problems) else {
            continue;
        };
        if read.value.is_zero() {
            problems.add(read.line, &section.key_path(key), "a target must be longer than zero");
        }
        *target = read.value;
    }
    section.reject_unknown_keys(problems);
    targets
}

fn read_minimum_shares(
    section: Option<Section<'_>>,
    problems: &mut Problems,
) -> [f64; Rank::COUNT] {
    let mut shares = DEFAULT_MINIMUM_SHARES;
    let Some(mut section) = section else { return shares };
    for (rank, share) in Rank::ALL.into_iter().zip(&mut shares) {
        *share = read_share(&mut section, rank.name(), *share, problems);
    }
    let total: f64 = shares.iter().sum();
    if total > 1.0 + SHARE_SUM_TOLERANCE {
        let problem = format!("the shares add up to {total:.2}; the sum must be at most 1");
        problems.add(section.line(), "shares", problem);
    }
    section.reject_unknown_keys(problems);
    shares
}

fn read_share(
    section: &mut Section<'_>,
    key: &'static str,
    default: f64,
    problems: &mut Problems,
) -> f64 {
    let Some(Located { value, line }) = section.optional::<f64>(key, EXPECTED_NUMBER, problems)
    else {
        return default;
    };
    if !(0.0..=1.0).contains(&value) {
        let problem = format!("{value} is not a share; use a number from 0.0 to 1.0");
        problems.add(line, &section.key_path(key), problem);
    }
    value
}

fn read_shards(
    section: &mut Section<'_>,
    service: &str,
    problems: &mut Problems,
) -> Vec<ShardSettings> {
    let line = section.line();
    let sections = section.sections("shard", problems);
    if sections.is_empty() || sections.len() > MAX_SHARDS {
        let problem = format!("a service must have 1 to {MAX_SHARDS} `[[shard]]`");
        problems.add(line, "shard", problem);
    }
    let mut shards: Vec<ShardSettings> = Vec::new();
    for section in sections {
        let line = section.line();
        let Some(shard) = read_shard(section, service, problems) else { continue };
        match shards.binary_search_by(|other| other.name.cmp(&shard.name)) {
            Ok(_) => {
                let problem = format!("duplicate shard name `{}`", shard.name);
                problems.add(line, "shard.name", problem);
            }
            Err(index) => shards.insert(index, shard),
        }
    }
    shards
}

fn read_shard(
    mut section: Section<'_>,
    service: &str,
    problems: &mut Problems,
) -> Option<ShardSettings> {
    let line = section.line();
    let name = section.required::<String>("name", EXPECTED_STRING, problems);
    let name = name.and_then(|name| check_name("shard.name", name, problems));
    let sections = section.sections("replica", problems);
    if sections.is_empty() || sections.len() > MAX_REPLICAS {
        let problem = format!("a shard must have 1 to {MAX_REPLICAS} `[[shard.replica]]`");
        problems.add(line, "shard.replica", problem);
    }
    let mut replicas: Vec<ReplicaSettings> = Vec::new();
    let shard = name.as_deref().unwrap_or_default();
    for section in sections {
        let line = section.line();
        let Some(replica) = read_replica(section, service, shard, problems) else { continue };
        match replicas.binary_search_by_key(&replica.tag, |other| other.tag) {
            Ok(_) => {
                let problem = format!("duplicate replica address {} in the shard", replica.address);
                problems.add(line, "shard.replica.address", problem);
            }
            Err(index) => replicas.insert(index, replica),
        }
    }
    section.reject_unknown_keys(problems);
    Some(ShardSettings { name: name?, replicas })
}

fn read_replica(
    mut section: Section<'_>,
    service: &str,
    shard: &str,
    problems: &mut Problems,
) -> Option<ReplicaSettings> {
    let address = section.required::<SocketAddr>("address", EXPECTED_ADDRESS, problems);
    let data_centre = section.required::<String>("data_centre", EXPECTED_STRING, problems);
    let data_centre =
        data_centre.and_then(|name| check_name("shard.replica.data_centre", name, problems));
    let slots = section.required::<u16>("slots", EXPECTED_INTEGER, problems);
    let connections = section.required::<u16>("connections", EXPECTED_INTEGER, problems);
    let drain =
        section.optional::<bool>("drain", EXPECTED_BOOL, problems).is_some_and(|drain| drain.value);
    section.reject_unknown_keys(problems);
    let (slots, connections) = (slots?, connections?);
    if !(1..=MAX_SLOTS).contains(&slots.value) {
        let problem = format!("{} is not from 1 to {MAX_SLOTS}", slots.value);
        problems.add(slots.line, "shard.replica.slots", problem);
    }
    if connections.value < slots.value {
        let problem = "a replica must accept at least as many connections as it has slots";
        problems.add(connections.line, "shard.replica.connections", problem);
    }
    let address = address?.value;
    Some(ReplicaSettings {
        tag: ReplicaTag::of([service, shard, &address.to_string()]),
        address,
        data_centre: data_centre?,
        slots: slots.value,
        connections: connections.value,
        drain,
    })
}

fn check_name(key: &str, name: Located<String>, problems: &mut Problems) -> Option<String> {
    let Located { value, line } = name;
    if matches!(&*value, "." | "..") {
        let problem = format!(
            "`{value}` is not a name, because it means another path in a URL; add a letter or digit"
        );
        problems.add(line, key, problem);
        return None;
    }
    let valid = (1..=MAX_NAME_BYTES).contains(&value.len())
        && value.chars().all(|c| c.is_alphanumeric() || matches!(c, '-' | '_' | '.'));
    if valid {
        return Some(value);
    }
    let problem = format!(
        "`{value}` is not a name; use 1 to {MAX_NAME_BYTES} bytes of letters, digits, `-`, `_` or `.`"
    );
    problems.add(line, key, problem);
    None
}
