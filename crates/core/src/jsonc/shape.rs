//! Checks on the token stream that the parser itself doesn't make.

use jsonc_parser::Scanner;
use jsonc_parser::tokens::Token;

/// Deepest nesting that is parsed.
///
/// The parser recurses once a level: a text of a megabyte of `[` would overflow the stack and end the process, seen as
/// a node that crashes on reading a document. The limit is far above what any document needs.
const MAX_DEPTH: usize = 32;

/// A token at which the text is refused.
#[derive(Debug)]
pub(super) struct ShapeFault {
    pub(super) offset: usize,
    pub(super) message: &'static str,
}

/// The first place where the text nests too deep or a comma is missing.
///
/// Faults that the scanner itself finds are left to the parser, which reports them.
pub(super) fn check(text: &str) -> Option<ShapeFault> {
    let mut scanner = Scanner::new(text);
    let mut depth = 0_usize;
    let mut after_value = false;
    while let Ok(Some(token)) = scanner.scan() {
        let offset = scanner.token_start();
        if is_comment(&token) {
            continue;
        }
        if after_value && starts_value(&token) {
            return Some(ShapeFault {
                offset,
                message: "a comma is missing before this",
            });
        }
        match token {
            Token::OpenBrace | Token::OpenBracket => depth += 1,
            Token::CloseBrace | Token::CloseBracket => depth = depth.saturating_sub(1),
            _ => {}
        }
        if depth > MAX_DEPTH {
            return Some(ShapeFault {
                offset,
                message: "nested too deep",
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
