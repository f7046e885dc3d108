//! Tests of parsing, formatting and comparing service tables, and of the findings with
//! row, column and hint.

use wheelmast_core::prelude::*;

/// A CSV text with the expected findings.
struct TableCase {
    name: &'static str,
    text: &'static str,
    findings: &'static [&'static str],
}

#[test]
fn parsing_reports_all_findings_together() {
    let cases = [
        TableCase {
            name: "good",
            text: "service,kind\nkiln,query\n",
            findings: &[],
        },
        TableCase {
            name: "comments and spaces",
            text: "# why\nservice, kind , weight\n kiln , query , 3\n",
            findings: &[],
        },
        TableCase {
            name: "empty",
            text: "service,kind\n",
            findings: &["whole: no service; a table needs a row or more"],
        },
        TableCase {
            name: "header",
            text: "service,wieght\nkiln,3\n",
            findings: &[
                "row 1, wieght: unknown column (did you mean \"weight\"?)",
                "row 1, kind: missing; the header must name it",
            ],
        },
        TableCase {
            name: "many cells at once",
            text: "service,kind,weight,first,coverage_floor\nKiln,qeury,0,tmie,2\n",
            findings: &[
                "row 2, service: \"Kiln\" is not 1 to 64 of lower-case letters, digits and hyphens",
                "row 2, kind: \"qeury\" is not one of query, fetch, non-repeatable (did you mean \"query\"?)",
                "row 2, weight: \"0\" is not a whole number from 1 to 1000",
                "row 2, first: \"tmie\" is not one of time, coverage (did you mean \"time\"?)",
                "row 2, coverage_floor: \"2\" is not a number from 0 to 1",
            ],
        },
        TableCase {
            name: "not a number",
            text: "service,kind,coverage_floor\nkiln,query,NaN\n",
            findings: &["row 2, coverage_floor: \"NaN\" is not a number from 0 to 1"],
        },
        TableCase {
            name: "twice",
            text: "service,kind\nkiln,query\nkiln,query\n",
            findings: &["row 3, service: \"kiln\" has a row already"],
        },
        TableCase {
            name: "too few cells",
            text: "service,kind,weight\nkiln,query\n",
            findings: &["row 2, all columns: 2 cells where the header has 3"],
        },
        TableCase {
            name: "cells that do not go together",
            text: "service,kind,hedge_quantile,merge,first,deadline_ms,partial_after_ms\n\
                   order,non-repeatable,0.9,score,time,100,200\n",
            findings: &[
                "row 2, partial_after_ms: after the deadline; give a time up to deadline_ms",
                "row 2, merge: a fetch or non-repeatable service has one reply; use \"single\"",
                "row 2, hedge_quantile: a non-repeatable request is never hedged; use 1",
            ],
        },
    ];
    for case in cases {
        let findings = match ServiceTable::parse(case.text, 1) {
            Ok(_) => Vec::new(),
            Err(findings) => findings.items().iter().map(|f| f.to_string()).collect(),
        };
        assert_eq!(findings, case.findings, "{}", case.name);
    }
}

#[test]
fn a_formatted_table_parses_to_the_same_table() {
    for text in [
        include_str!("../../../examples/kivela.csv"),
        include_str!("../../../examples/lonestar.csv"),
    ] {
        let table = ServiceTable::parse(text, 3).expect("the example has no findings");
        let reparsed =
            ServiceTable::parse(&table.to_csv(), 3).expect("the formatted table is valid");
        assert_eq!(table, reparsed);
        assert!(table.diff(&reparsed).is_empty());
    }
}

#[test]
fn a_diff_lists_changed_cells() {
    let old = "service,kind,weight\nkiln,query,3\nparts,query,1\n";
    let new = "service,kind,weight\nkiln,query,4\nparts,query,1\n";
    let old = ServiceTable::parse(old, 1).expect("the old table is valid");
    let new = ServiceTable::parse(new, 2).expect("the new table is valid");
    let changes = old.diff(&new);
    assert_eq!(changes.len(), 1);
    assert_eq!(
        (changes[0].service.as_str(), changes[0].column),
        ("kiln", "weight")
    );
}

proptest::proptest! {
    #![proptest_config(proptest::test_runner::Config {
        cases: 2000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        ..Default::default()
    })]

    /// Parsing does not panic on any text, and a table that it accepts can be
    /// formatted and parsed again with the same result.
    #[test]
    fn any_text_parses_or_yields_findings(text in "(service|kind|weight|query|kiln|[0-9]{1,3}|[,\n\"#. ]){0,40}") {
        if let Ok(table) = ServiceTable::parse(&text, 1) {
            let reparsed = ServiceTable::parse(&table.to_csv(), 1);
            proptest::prop_assert_eq!(reparsed, Ok(table));
        }
    }
}
