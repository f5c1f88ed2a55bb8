//! Structural checks of the token stream that the parser doesn't perform.

use jsonc_parser::Scanner;
use jsonc_parser::tokens::Token;

/// Maximum nesting depth, far above what any document needs.
///
/// The parser recurses once per level. Without a limit, a document with a megabyte of `[` would overflow the stack and
/// crash the node that reads it.
const MAX_DEPTH: usize = 32;

/// Structural fault at a token.
#[derive(Debug)]
pub(super) struct StructureFault {
    pub(super) offset: usize,
    pub(super) message: &'static str,
}

/// Returns the first location where the nesting is too deep or a comma is missing.
///
/// Errors of the scanner are ignored, as the parser reports them.
pub(super) fn check(text: &str) -> Option<StructureFault> {
    let mut scanner = Scanner::new(text);
    let mut depth = 0_usize;
    let mut after_value = false;
    while let Ok(Some(token)) = scanner.scan() {
        let offset = scanner.token_start();
        if is_comment(&token) {
            continue;
        }
        if after_value && starts_value(&token) {
            return Some(StructureFault {
                offset,
                message: "missing comma before this token",
            });
        }
        match token {
            Token::OpenBrace | Token::OpenBracket => depth += 1,
            Token::CloseBrace | Token::CloseBracket => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            return Some(StructureFault {
                offset,
                message: "nesting is too deep",
            });
        }
        after_value = ends_value(&token);
    }
    None
}

fn is_comment(token: &Token<'_>) -> bool {
    matches!(token, Token::CommentLine(_) | Token::CommentBlock(_))
}

fn starts_value(token: &Token<'_>) -> bool {
    !matches!(
        token,
        Token::CloseBrace | Token::CloseBracket | Token::Comma | Token::Colon
    )
}

fn ends_value(token: &Token<'_>) -> bool {
    !matches!(
        token,
        Token::OpenBrace | Token::OpenBracket | Token::Comma | Token::Colon
    )
}
