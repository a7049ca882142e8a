//! Checks that the table of result codes in `docs/ERRORS.md` matches the code.

use std::collections::BTreeSet;

use googletest::prelude::*;
use rillgap_core::code::ResultCode;

const PAGE: &str = include_str!("../../../docs/ERRORS.md");

/// Returns the first five cells of every row of the table.
fn rows_of_page() -> Vec<Vec<&'static str>> {
    PAGE.lines()
        .filter(|line| line.starts_with("| ") && !line.starts_with("| Code"))
        .map(|line| line.split('|').skip(1).take(5).map(str::trim).collect())
        .collect()
}

fn row_of_code(code: ResultCode) -> Vec<String> {
    vec![
        code.number().to_string(),
        format!("{code:?}"),
        code.http_status().to_string(),
        code.outcome().token().to_owned(),
        code.title().to_owned(),
    ]
}

#[gtest]
fn page_lists_every_code_in_order() {
    let expected: Vec<Vec<String>> = ResultCode::ALL.iter().copied().map(row_of_code).collect();

    expect_that!(rows_of_page(), eq(&expected));
}

#[gtest]
fn numbers_are_unique() {
    let numbers: BTreeSet<u8> = ResultCode::ALL.iter().map(|code| code.number()).collect();

    expect_that!(numbers, len(eq(ResultCode::ALL.len())));
}
