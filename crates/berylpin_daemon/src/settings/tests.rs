use super::*;

const EXAMPLE: &str = include_str!("../../../../examples/berylpind.toml");

fn parse(text: &str) -> Result<DaemonSettings, SettingsError> {
    DaemonSettings::parse(Path::new("d.toml"), text, |_| None)
}

fn told(text: &str) -> String {
    parse(text).unwrap_err().to_string()
}

#[test]
fn the_example_is_valid() {
    let settings = parse(EXAMPLE).unwrap();
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.threads, 2);
}

#[test]
fn all_problems_are_told_with_file_line_and_key() {
    let text = EXAMPLE
        .replace("threads = 2", "threds = 2")
        .replace("region = \"palermo\"", "region = \"\"")
        .replace("\"127.0.0.1:7002\"", "7002");
    let told = told(&text);
    let lines: Vec<_> = told.lines().collect();
    assert_eq!(lines.len(), 3, "{told}");
    assert!(lines.iter().all(|line| line.starts_with("d.toml: line ")), "{told}");
    assert!(lines[0].ends_with("region: `` is not a name; use 1 to 64 bytes"), "{told}");
    assert!(lines[1].contains("admin_address: "), "{told}");
    assert!(lines[2].ends_with("did you mean `threads`?"), "{told}");
}

#[test]
fn a_short_secret_is_refused_and_not_shown() {
    let text = EXAMPLE.replace("change-me-admin-token", "hunter2");
    let told = told(&text);
    assert!(told.contains("admin_token: the secret is too short; use at least 16 bytes"));
    assert!(!told.contains("hunter2"));
    assert!(!format!("{:?}", parse(EXAMPLE).unwrap()).contains("change-me"));
}

#[test]
fn secrets_of_the_environment_go_before_those_of_the_file() {
    let text = EXAMPLE.replace("fleet_key = ", "# fleet_key = ");
    assert!(told(&text).contains("fleet_key: this key is missing"));
    let env = |variable: &str| Some(format!("{variable}-0123456789"));
    let settings = DaemonSettings::parse(Path::new("d.toml"), &text, env).unwrap();
    assert!(settings.fleet_key.matches(b"BERYLPIN_FLEET_KEY-0123456789"));
    assert!(settings.admin_token.matches(b"BERYLPIN_ADMIN_TOKEN-0123456789"));
    assert!(!settings.admin_token.matches(b"change-me-admin-token"));
}

#[test]
fn the_builder_checks_like_a_file() {
    let told = DaemonSettings::builder().name("").threads(65).build().unwrap_err().to_string();
    assert!(told.contains("settings: fleet_key: this key is missing"), "{told}");
    assert!(told.contains("settings: threads: 65 is not from 1 to 64"), "{told}");
    assert!(told.contains("settings: name: `` is not a name"), "{told}");
}
