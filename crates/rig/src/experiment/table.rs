//! Formats results as a Markdown table.

use std::fmt::Write;

use super::measures::Measures;
use super::outcome::Outcome;
use super::recovery::Recovery;
use super::scenario::Scenario;
use super::spread::Spread;
use super::user::User;
use super::variant::Variant;

/// Formats one row per variant: the median over the repeats, with minimum and maximum in parentheses.
pub(super) fn markdown(user: User, scenario: Scenario, outcomes: &[Outcome]) -> String {
    let mut text = heading(user, scenario, outcomes);
    for variant in variants(outcomes) {
        let runs: Vec<&Outcome> = outcomes
            .iter()
            .filter(|outcome| outcome.variant == variant)
            .collect();
        text.push_str(&row(variant, &runs));
    }
    text.push('\n');
    text
}

/// Returns the variants in the order of their first runs.
pub(crate) fn variants(outcomes: &[Outcome]) -> Vec<Variant> {
    let mut variants = Vec::new();
    for outcome in outcomes {
        if !variants.contains(&outcome.variant) {
            variants.push(outcome.variant);
        }
    }
    variants
}

fn heading(user: User, scenario: Scenario, outcomes: &[Outcome]) -> String {
    let Some(first) = outcomes.first() else {
        return String::new();
    };
    let names = first.measures.classes.iter();
    let classes: Vec<&str> = names.map(|class| class.class.as_str()).collect();
    let loads: Vec<&str> = outcomes.iter().map(|o| o.load_average.as_str()).collect();
    let mut text = String::new();
    // Writing to a string can't fail.
    let _ = writeln!(
        text,
        "### {user}, {scenario}\n\nCapacity {:.0} requests/s, usual load {:.0}/s, scale {}; load average {}.\n",
        first.capacity,
        first.normal,
        first.scale,
        loads.join(", "),
    );
    let _ = writeln!(
        text,
        "| variant | runs | goodput ratio | recovery s | deepest calls/request | wasted work | p99 ms | {} |",
        classes.join(" | ")
    );
    let _ = writeln!(
        text,
        "|---|---|---|---|---|---|---|{}",
        "---|".repeat(classes.len())
    );
    text
}

fn row(variant: Variant, runs: &[&Outcome]) -> String {
    let spread = |figure: fn(&Measures) -> f64| {
        Spread::of(runs.iter().map(|run| figure(&run.measures)).collect())
    };
    let mut text = format!(
        "| {variant} | {} | {} | {} | {} | {} | {:.0} |",
        runs.len(),
        spread(|m| m.goodput_ratio),
        recovery(runs),
        spread(|m| m.deepest_per_request),
        spread(|m| m.wasted_share),
        spread(|m| m.trigger_p99_ms),
    );
    let classes = runs.first().map_or(0, |run| run.measures.classes.len());
    for index in 0..classes {
        let shares = runs
            .iter()
            .map(|run| run.measures.classes[index].served_share);
        let _ = write!(text, " {} |", Spread::of(shares.collect()));
    }
    text.push('\n');
    text
}

fn recovery(runs: &[&Outcome]) -> String {
    let missing = runs
        .iter()
        .filter(|run| run.measures.recovery == Recovery::NotSeen)
        .count();
    let seconds = runs
        .iter()
        .map(|run| run.measures.recovery.seconds_or(run.phases.after));
    let spread = Spread::of(seconds.collect());
    match missing {
        0 => format!("{spread:.0}"),
        missing => format!("{spread:.0}, not within the run in {missing}"),
    }
}
