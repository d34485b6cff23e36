//! Locates a node in the YAML text that it was parsed from.

/// Returns the line, counted from 1, of a node or of its closest ancestor that can be found.
///
/// Only keys in block style are found, not those inside braces. Returns 0 if even the first
/// part of the dotted path isn't found.
pub(crate) fn locate(text: &str, path: &str) -> usize {
    let mut found = 0;
    let mut lines = text.lines().enumerate().peekable();
    let mut parent_indent = None;
    for part in path.split('.') {
        let Some((line, indent)) = find_key(&mut lines, part, parent_indent) else {
            return found;
        };
        found = line;
        parent_indent = Some(indent);
    }
    found
}

/// Finds `key` among the children of the node whose line was read last from `lines`. Returns
/// its line, counted from 1, and its indentation.
fn find_key<'a>(
    lines: &mut impl Iterator<Item = (usize, &'a str)>,
    key: &str,
    parent_indent: Option<usize>,
) -> Option<(usize, usize)> {
    let mut child_indent = None;
    for (index, line) in lines {
        let content = line.trim_start();
        if content.is_empty() || content.starts_with('#') {
            continue;
        }
        let indent = line.len() - content.len();
        if parent_indent.is_some_and(|parent| indent <= parent) {
            return None;
        }
        let child = *child_indent.get_or_insert(indent);
        let name = content.split(':').next().unwrap_or_default();
        if indent == child && name.trim_matches(['"', '\'']) == key {
            return Some((index + 1, indent));
        }
    }
    None
}
