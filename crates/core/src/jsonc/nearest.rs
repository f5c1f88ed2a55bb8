//! The nearest of the known words to a mistyped one.

/// Longest word that is compared, in bytes; the distance takes time by the product of the lengths.
const MAX_BYTES: usize = 64;

/// The known word with the smallest edit distance to `word` but for case, where at most a third of it differs.
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

/// Edit distance of two words (Levenshtein): insertions, deletions and substitutions.
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
