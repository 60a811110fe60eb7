use super::*;

const FOLDER: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../experiments");

fn load(name: &str) -> Scenario {
    Scenario::load(&Path::new(FOLDER).join(format!("{name}.toml"))).unwrap()
}

#[test]
fn scenario_files_are_valid_and_named_after_their_scenario() {
    let files: Vec<PathBuf> =
        std::fs::read_dir(FOLDER).unwrap().map(|file| file.unwrap().path()).collect();
    assert!(files.len() >= 20, "{} files", files.len());
    for path in files {
        let scenario = Scenario::load(&path).unwrap_or_else(|e| panic!("{e}"));
        assert_eq!(path.file_stem().unwrap().to_str(), Some(scenario.name.as_str()));
    }
}

#[test]
fn choice_of_faults_depends_on_the_seed_only() {
    let chosen = |seed| {
        let mut scenario = load("combined");
        scenario.choose_faults(seed);
        format!("{:?}", scenario.fault)
    };
    assert_eq!(chosen(1), chosen(1));
    assert!((2..10).any(|seed| chosen(seed) != chosen(1)));
}

#[test]
fn load_factor_applies_to_its_time_rank_and_target_only() {
    let mut scenario = load("flood-least-urgent");
    scenario.fault[0].for_s = Some(2.0);
    let find_load = |target: &str, rank| {
        let found = scenario.load.iter().find(|load| load.target == target && load.rank == rank);
        found.unwrap()
    };
    let flooded = find_load("quota-desk", Rank::Background);
    let is_flooded = |second| scenario.load_factor(flooded, second) > 10.0;
    assert_eq!([-1.0, 0.0, 1.9, 2.0].map(is_flooded), [false, true, true, false]);
    for other in
        [find_load("quota-desk", Rank::Urgent), find_load("faculty-portal", Rank::Background)]
    {
        assert!((scenario.load_factor(other, 1.0) - 1.0).abs() < f64::EPSILON);
    }
}

#[test]
fn daemon_index_out_of_range_is_rejected() {
    let mut scenario = load("vm-loss");
    scenario.daemons = 3;
    assert!(scenario.validate().is_err());
}
