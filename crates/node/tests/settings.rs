//! Tests that the settings parser reports all findings at once, each with line
//! and column, and that settings with a role are distinguished from settings
//! without one.

use wheelmast_core::process::forward::place::RegionMap;
use wheelmast_node::settings::read::{read_instance_settings, read_settings_text, ParsedSettings};

struct SettingsCase {
    name: &'static str,
    text: &'static str,
    findings: &'static [&'static str],
}

/// Valid settings with the required keys only.
const MINIMAL_SETTINGS: &str = r#"{
  // The smallest settings.
  "instance": "oulu-1",
  "failure_domain": "oulu",
  "listen": {
    "callers": "127.0.0.1:7400",
    "operators": "127.0.0.1:7401",
    "upstreams": "127.0.0.1:7402",
  },
}"#;

#[test]
fn findings_have_line_and_column() {
    let cases = [
        SettingsCase {
            name: "good",
            text: MINIMAL_SETTINGS,
            findings: &[],
        },
        SettingsCase {
            name: "not JSON",
            text: "{\n  \"instance\": }",
            findings: &["2:15: not JSON with comments: Unexpected close brace"],
        },
        SettingsCase {
            name: "not an object",
            text: "[]",
            findings: &["whole: settings must be one object"],
        },
        SettingsCase {
            name: "several findings",
            text: r#"{
  "instance": 5,
  "failure_domian": "oulu",
  "in_flight": 0,
  "listen": {"callers": "nowhere", "operators": "127.0.0.1:1", "upstreams": "127.0.0.1:2"},
  "log": {"format": "jsn", "decisions": 1}
}"#,
            findings: &[
                "1:1: failure_domain: missing",
                "2:15: instance: must be a text that is not empty",
                "4:16: in_flight: must be a whole number from 1 to 100000",
                "5:25: callers: must be an IP address and port, like \"127.0.0.1:7400\"",
                "6:21: format: must be one of text, json (did you mean \"json\"?)",
                "6:41: decisions: must be true or false",
                "3:3: failure_domian: unknown key (did you mean \"failure_domain\"?)",
            ],
        },
        SettingsCase {
            name: "repeated key",
            text: r#"{"instance": "a", "instance": "b", "failure_domain": "d",
 "listen": {"callers": "127.0.0.1:1", "operators": "127.0.0.1:1", "upstreams": "127.0.0.1:2"}}"#,
            findings: &["1:19: instance: named twice"],
        },
    ];
    for case in cases {
        let findings = match read_instance_settings(case.text) {
            Ok(_) => Vec::new(),
            Err(findings) => findings.items().iter().map(|f| f.to_string()).collect(),
        };
        assert_eq!(findings, case.findings, "{}", case.name);
    }
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config {
        cases: 2000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(3),
        ..Default::default()
    })]

    #[test]
    fn no_text_makes_the_parser_panic(cut in 0usize..220, text in "[{}\\[\\]\",:a-z0-9ä/* \n]{0,30}") {
        let prefix: String = MINIMAL_SETTINGS.chars().take(cut).collect();
        let _ = read_instance_settings(&format!("{prefix}{text}"));
    }
}

#[test]
fn settings_with_a_role_are_parsed_as_role_settings() {
    let entry = r#"{
      "role": "entry", "instance": "e1", "failure_domain": "d", "address": "127.0.0.1",
      "peer_port": 7380, "seeds": ["127.0.0.2:80", "127.0.0.3:80"],
      "listen": {"callers": "127.0.0.1:81", "ready": "127.0.0.1:82"},
      "extra_load": {"ratio": 0.2, "slack": 54, "window_s": 10}
    }"#;
    let parsed = read_settings_text(entry).expect("valid settings");
    let ParsedSettings::Role(settings) = parsed else {
        panic!("settings with a role must be role settings");
    };
    assert_eq!(
        settings.seed_peer_addresses()[1].to_string(),
        "127.0.0.3:7380"
    );
    assert!((settings.extra.slack - 54.0).abs() < 1e-9);
    let mapped = entry.replace(
        "\"peer_port\"",
        "\"regions\": {\"d\": \"r\"}, \"peer_port\"",
    );
    let Ok(ParsedSettings::Role(mapped)) = read_settings_text(&mapped) else {
        panic!("settings with regions must be valid");
    };
    assert_eq!(mapped.regions, RegionMap::new([("d".into(), "r".into())]));
    struct RoleCase {
        from: &'static str,
        to: &'static str,
        expected: &'static str,
    }
    let cases = [
        RoleCase {
            from: "\"role\": \"entry\"",
            to: "\"role\": \"entri\"",
            expected: "role: must be one of entry, control",
        },
        RoleCase {
            from: "\"ready\": \"127.0.0.1:82\"",
            to: "\"raedy\": \"127.0.0.1:82\"",
            expected: "listen.ready: missing; the role needs it",
        },
        RoleCase {
            from: "\"ratio\": 0.2",
            to: "\"ratio\": -1",
            expected: "ratio: must be a number from 0",
        },
        RoleCase {
            from: "\"peer_port\"",
            to: "\"log_level\": \"infos\", \"peer_port\"",
            expected: "log_level: must be one of off, error",
        },
        RoleCase {
            from: "127.0.0.1:82\"",
            to: "127.0.0.1:82\", \"metrics\": \"here\"",
            expected: "metrics: must be an IP address and port",
        },
        RoleCase {
            from: "\"peer_port\"",
            to: "\"regions\": [\"d\"], \"peer_port\"",
            expected: "regions: must be an object of texts",
        },
        RoleCase {
            from: "\"peer_port\"",
            to: "\"regions\": {\"d\": 1}, \"peer_port\"",
            expected: "regions: must be an object of texts",
        },
        RoleCase {
            from: "\"peer_port\"",
            to: "\"regions\": {\"d\": \"r\", \"d\": \"s\"}, \"peer_port\"",
            expected: "regions: d is named twice",
        },
        RoleCase {
            from: "127.0.0.2:80",
            to: "there",
            expected: "seeds: must be a list",
        },
        RoleCase {
            from: "\"role\": \"entry\"",
            to: "\"role\": \"control\"",
            expected: "listen.control: missing",
        },
    ];
    for case in cases {
        let text = entry.replace(case.from, case.to);
        let findings = read_settings_text(&text)
            .expect_err(case.expected)
            .to_string();
        assert!(findings.contains(case.expected), "{findings}");
    }
}
