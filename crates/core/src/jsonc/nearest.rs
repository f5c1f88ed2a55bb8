//! Suggestions for mistyped keys and values.

/// Maximum length of a word to compare, in bytes. The edit distance takes time proportional to the product of the
/// lengths.
const MAX_BYTES: usize = 64;

/// Returns the known word with the smallest case-insensitive edit distance to `word`.
///
/// The distance may be at most a third of the length of `word`, but a distance of 1 is always accepted.
pub fn nearest<'k>(word: &str, known: &[&'k str]) -> Option<&'k str> {
    if word.len() > MAX_BYTES {
        return None;
    }
    let word = word.to_lowercase();
    let limit = (word.chars().count() / 3).max(1);
    known
        .iter()
        .map(|candidate| (distance(&word, &candidate.to_lowercase()), *candidate))
        .filter(|(distance, _)| *distance <= limit)
        .min_by_key(|(distance, _)| *distance)
        .map(|(_, candidate)| candidate)
}

/// Computes the Levenshtein distance of two words.
fn distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, a) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, b) in right.iter().enumerate() {
            let substitution = diagonal + usize::from(a != *b);
            diagonal = row[j + 1];
            row[j + 1] = substitution.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}
