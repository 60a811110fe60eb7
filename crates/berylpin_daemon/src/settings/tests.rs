use super::*;

const EXAMPLE: &str = include_str!("../../../../examples/berylpind.toml");

fn parse(text: &str) -> Result<DaemonSettings, SettingsError> {
    DaemonSettings::parse(Path::new("d.toml"), text, |_| None)
}

fn error_text(text: &str) -> String {
    parse(text).unwrap_err().to_string()
}

#[test]
fn example_file_is_valid() {
    let settings = parse(EXAMPLE).unwrap();
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.threads, 2);
}

#[test]
fn every_problem_is_reported_with_file_line_and_key() {
    let text = EXAMPLE
        .replace("threads = 2", "threds = 2")
        .replace("region = \"palermo\"", "region = \"\"")
        .replace("\"127.0.0.1:7002\"", "7002");
    let message = error_text(&text);
    let lines: Vec<_> = message.lines().collect();
    assert_eq!(lines.len(), 3, "{message}");
    assert!(lines.iter().all(|line| line.starts_with("d.toml: line ")), "{message}");
    assert!(lines[0].ends_with("region: `` is not a name; use 1 to 64 bytes"), "{message}");
    assert!(lines[1].contains("admin_address: "), "{message}");
    assert!(lines[2].ends_with("did you mean `threads`?"), "{message}");
}

#[test]
fn short_secret_is_rejected_and_absent_from_the_error() {
    let text = EXAMPLE.replace("change-me-admin-token", "hunter2");
    let message = error_text(&text);
    assert!(message.contains("admin_token: the secret is too short; use at least 16 bytes"));
    assert!(!message.contains("hunter2"));
    assert!(!format!("{:?}", parse(EXAMPLE).unwrap()).contains("change-me"));
}

#[test]
fn secrets_in_the_environment_override_those_in_the_file() {
    let text = EXAMPLE.replace("fleet_key = ", "# fleet_key = ");
    assert!(error_text(&text).contains("fleet_key: this key is missing"));
    let env = |variable: &str| Some(format!("{variable}-0123456789"));
    let settings = DaemonSettings::parse(Path::new("d.toml"), &text, env).unwrap();
    assert!(settings.fleet_key.matches(b"BERYLPIN_FLEET_KEY-0123456789"));
    assert!(settings.admin_token.matches(b"BERYLPIN_ADMIN_TOKEN-0123456789"));
    assert!(!settings.admin_token.matches(b"change-me-admin-token"));
}

#[test]
fn builder_applies_the_checks_of_a_file() {
    let message = DaemonSettings::builder().name("").threads(65).build().unwrap_err().to_string();
    assert!(message.contains("settings: fleet_key: this key is missing"), "{message}");
    assert!(message.contains("settings: threads: 65 is not from 1 to 64"), "{message}");
    assert!(message.contains("settings: name: `` is not a name"), "{message}");
}
