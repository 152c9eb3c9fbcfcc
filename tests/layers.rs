//! Checks that modules of the controller import only from their own layer and from lower ones, and that files do not
//! import each other in a cycle.
//!
//! The imports are found in the text of the sources: `use` items, and paths in code that begin with `crate`, `super`,
//! `self` or the crate's name. Tests (`tests.rs`) and the simulated cluster (`src/core/simulation`) are excluded.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::path::Path;

/// Modules at the crate root by layer, the uppermost layer first. A module may import from its own layer and from all
/// layers below.
const LAYERS: &[&[&str]] = &[
    &["main", "cli"],
    &["service"],
    &["snapshotter"],
    &["core"],
    &["planning", "policy"],
    &[
        "peer",
        "store_client",
        "cloud_client",
        "worker_client",
        "status_view",
    ],
    &["http"],
    &["wire"],
    &[
        "settings",
        "job",
        "rate_limiter",
        "fault_injection",
        "logging",
        "metrics",
    ],
];

/// Module paths within the crate, such as `core::store::cache`.
type ModulePath = Vec<String>;

/// One import of a module by another.
#[derive(Clone, Debug)]
struct Import {
    from: ModulePath,
    to: ModulePath,
    /// Import path as written in the source, with groups expanded.
    text: String,
}

/// Modules of the crate with their source files.
struct Sources {
    modules: BTreeMap<ModulePath, Source>,
}

struct Source {
    file: String,
    text: String,
}

impl Sources {
    /// Collects the modules from pairs of a path below `src` and the file's text.
    fn new(files: impl IntoIterator<Item = (String, String)>) -> Sources {
        let modules = files
            .into_iter()
            .filter(|(file, _)| is_program_source(file))
            .map(|(file, text)| (module_path_of(&file), Source { file, text }))
            .collect();
        Sources { modules }
    }

    /// Reads all Rust files below a folder.
    fn read_dir(folder: &Path) -> Sources {
        let mut files = Vec::new();
        let mut folders = vec![folder.to_path_buf()];
        while let Some(next) = folders.pop() {
            for entry in std::fs::read_dir(next).unwrap() {
                let path = entry.unwrap().path();
                if path.is_dir() {
                    folders.push(path);
                } else if path.extension().is_some_and(|e| e == "rs") {
                    let name = path.strip_prefix(folder).unwrap().to_str().unwrap();
                    files.push((name.to_string(), std::fs::read_to_string(&path).unwrap()));
                }
            }
        }
        Sources::new(files)
    }

    fn imports(&self) -> Vec<Import> {
        let imports_of = |(from, source): (&ModulePath, &Source)| {
            let resolved = imported_paths(&source.text).into_iter().filter_map(|text| {
                let to = self.resolve(from, &text)?;
                (to != *from).then(|| Import {
                    from: from.clone(),
                    to,
                    text,
                })
            });
            resolved.collect::<Vec<_>>()
        };
        self.modules.iter().flat_map(imports_of).collect()
    }

    /// Returns the module that a path written in `from` refers to, or `None` if the path leads to another crate.
    fn resolve(&self, from: &ModulePath, path: &str) -> Option<ModulePath> {
        let mut target: ModulePath = Vec::new();
        for (n, segment) in path.split("::").enumerate() {
            match segment {
                "crate" | "burlusher" if n == 0 => {}
                "self" if n == 0 => target = from.clone(),
                "super" => {
                    if n == 0 {
                        target = from.clone();
                    }
                    target.pop();
                }
                name => {
                    if n == 0 {
                        target = from.clone();
                    }
                    target.push(name.to_string());
                    if !self.modules.contains_key(&target) {
                        target.pop();
                        if n == 0 {
                            return None;
                        }
                        break;
                    }
                }
            }
        }
        (!target.is_empty()).then_some(target)
    }

    fn file(&self, module: &ModulePath) -> &str {
        &self.modules[module].file
    }

    fn describe(&self, import: &Import) -> String {
        format!(
            "{}: {} ({})",
            self.file(&import.from),
            import.text,
            self.file(&import.to)
        )
    }

    /// Returns modules without a layer, and imports of a module from a layer above its own.
    fn layer_violations(&self) -> Vec<String> {
        let mut out = Vec::new();
        for (module, source) in &self.modules {
            if !module.is_empty() && layer(module).is_none() {
                out.push(format!("{}: in no layer", source.file));
            }
        }
        for import in self.imports() {
            if let (Some(from), Some(to)) = (layer(&import.from), layer(&import.to))
                && to < from
            {
                out.push(format!("upwards: {}", self.describe(&import)));
            }
        }
        out
    }

    /// Returns a shortest cycle for each group of files that import each other.
    fn cycles(&self) -> Vec<String> {
        let mut graph: BTreeMap<ModulePath, BTreeMap<ModulePath, Import>> = BTreeMap::new();
        for import in self.imports() {
            if !one_contains_other(&import.from, &import.to) {
                let targets = graph.entry(import.from.clone()).or_default();
                targets.entry(import.to.clone()).or_insert(import);
            }
        }
        let mut reported: BTreeSet<ModulePath> = BTreeSet::new();
        let mut out = Vec::new();
        for start in graph.keys() {
            if reported.contains(start) {
                continue;
            }
            if let Some(cycle) = shortest_cycle(&graph, start) {
                reported.extend(cycle.iter().map(|import| import.from.clone()));
                let lines: Vec<_> = cycle.iter().map(|i| self.describe(i)).collect();
                out.push(format!("cycle:\n    {}", lines.join("\n    ")));
            }
        }
        out
    }
}

fn is_program_source(file: &str) -> bool {
    let parts: Vec<_> = file.split('/').collect();
    !parts.contains(&"simulation") && parts.last() != Some(&"tests.rs") && !parts.contains(&"tests")
}

/// Returns the module path of a file: `core::store` for `core/store/mod.rs` and `core/store.rs`, the root for `lib.rs`.
fn module_path_of(file: &str) -> ModulePath {
    let stem = file.strip_suffix(".rs").unwrap_or(file);
    let stem = stem.strip_suffix("/mod").unwrap_or(stem);
    if stem == "lib" {
        return Vec::new();
    }
    stem.split('/').map(str::to_string).collect()
}

/// Returns the index of the module's layer; lower indices are higher layers.
fn layer(module: &ModulePath) -> Option<usize> {
    let root = module.first()?;
    LAYERS.iter().position(|l| l.contains(&root.as_str()))
}

/// Tells whether one module contains the other, at any depth.
fn one_contains_other(one: &ModulePath, other: &ModulePath) -> bool {
    one.starts_with(other) || other.starts_with(one)
}

fn shortest_cycle(
    graph: &BTreeMap<ModulePath, BTreeMap<ModulePath, Import>>,
    start: &ModulePath,
) -> Option<Vec<Import>> {
    let mut reached_by: BTreeMap<&ModulePath, &Import> = BTreeMap::new();
    let mut queue = VecDeque::from([start]);
    while let Some(module) = queue.pop_front() {
        for (target, import) in graph.get(module).into_iter().flatten() {
            if reached_by.contains_key(target) {
                continue;
            }
            reached_by.insert(target, import);
            if target == start {
                let mut cycle = vec![import.clone()];
                while cycle.last().is_some_and(|i| i.from != *start) {
                    let from = &cycle[cycle.len() - 1].from;
                    cycle.push(reached_by[from].clone());
                }
                cycle.reverse();
                return Some(cycle);
            }
            queue.push_back(target);
        }
    }
    None
}

/// Returns all paths of `use` items, with groups expanded, and those paths in code that begin with
/// `crate`, `super`, `self` or the crate's name.
fn imported_paths(text: &str) -> Vec<String> {
    let text = without_comments(text);
    let mut code = String::new();
    let mut out = Vec::new();
    let mut item: Option<String> = None;
    for line in text.lines() {
        let trimmed = line.trim();
        if item.is_none() {
            match after_use_keyword(trimmed) {
                Some(rest) => item = Some(rest.to_string()),
                None => {
                    code.push_str(line);
                    code.push('\n');
                }
            }
        } else if let Some(item) = &mut item {
            item.push(' ');
            item.push_str(trimmed);
        }
        if let Some((whole, _)) = item.as_deref().and_then(|i| i.split_once(';')) {
            expand("", whole, &mut out);
            item = None;
        }
    }
    let words = code.split(|c: char| !(c.is_alphanumeric() || c == '_' || c == ':'));
    let absolute = words.filter(|word| {
        ["crate::", "super::", "self::", "burlusher::"]
            .iter()
            .any(|prefix| word.starts_with(prefix))
    });
    out.extend(absolute.map(|w| w.trim_end_matches(':').to_string()));
    out
}

/// Returns the text after `use`, `pub use` or `pub(…) use` at the beginning of a line.
fn after_use_keyword(line: &str) -> Option<&str> {
    let mut rest = line;
    if let Some(after) = rest.strip_prefix("pub") {
        rest = match after.strip_prefix('(') {
            Some(scope) => scope.split_once(')')?.1,
            None => after,
        };
        rest = rest.strip_prefix(' ')?;
    }
    rest.strip_prefix("use ")
}

/// Expands `a::{b, c::{d, e}}`.
fn expand(prefix: &str, tree: &str, out: &mut Vec<String>) {
    let tree = tree.trim();
    if let Some((head, group)) = tree.split_once('{') {
        let group = &group[..group.rfind('}').unwrap_or(group.len())];
        let prefix = format!("{prefix}{head}");
        for part in split_group(group) {
            expand(&prefix, part, out);
        }
        return;
    }
    let name = tree.split(" as ").next().unwrap_or(tree).trim();
    if !name.is_empty() {
        let path = format!("{prefix}{name}");
        out.push(path.trim_end_matches("::self").to_string());
    }
}

/// Splits a group at the commas that are not within an inner group.
fn split_group(group: &str) -> Vec<&str> {
    let mut parts = Vec::new();
    let (mut depth, mut begin) = (0, 0);
    for (at, c) in group.char_indices() {
        match c {
            '{' => depth += 1,
            '}' => depth -= 1,
            ',' if depth == 0 => {
                parts.push(&group[begin..at]);
                begin = at + 1;
            }
            _ => {}
        }
    }
    parts.push(&group[begin..]);
    parts
}

/// Removes line comments; a `//` within quotation marks does not begin a comment.
fn without_comments(text: &str) -> String {
    let strip_comment = |line: &str| {
        let comment = line
            .match_indices("//")
            .find(|(at, _)| line[..*at].matches('"').count().is_multiple_of(2));
        let end = comment.map_or(line.len(), |(at, _)| at);
        format!("{}\n", &line[..end])
    };
    text.lines().map(strip_comment).collect()
}

fn program() -> Sources {
    Sources::read_dir(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"))
}

fn sample_sources(files: &[(&str, &str)]) -> Sources {
    Sources::new(
        files
            .iter()
            .map(|(file, text)| ((*file).to_string(), (*text).to_string())),
    )
}

#[test]
fn no_module_imports_from_layer_above() {
    let violations = program().layer_violations();
    assert!(violations.is_empty(), "\n{}", violations.join("\n"));
}

#[test]
fn imports_form_no_cycle() {
    let cycles = program().cycles();
    assert!(cycles.is_empty(), "\n{}", cycles.join("\n"));
}

#[test]
fn sources_are_found() {
    let program = program();
    for file in ["main.rs", "lib.rs", "core/mod.rs", "core/store/cache.rs"] {
        assert!(program.modules.values().any(|s| s.file == file), "{file}");
    }
    assert!(program.imports().len() > 200);
}

#[test]
fn sample_upward_imports_are_found() {
    let sources = sample_sources(&[
        ("lib.rs", "pub mod core;\npub mod service;"),
        ("main.rs", "use burlusher::{core, service::run};"),
        (
            "service.rs",
            "use crate::core::{self, store::cache};\nmod inbox;",
        ),
        ("service/inbox.rs", "use super::run;"),
        ("core/mod.rs", "// use crate::service::no;\nmod store;"),
        (
            "core/store/mod.rs",
            "fn wait() { crate::service::inbox::wait() }",
        ),
        (
            "core/store/cache.rs",
            "use crate::{\n    core::store,\n    service::{Limit, inbox as queue},\n};",
        ),
        ("core/store/cache/tests.rs", "use crate::service::run;"),
        ("core/simulation/mod.rs", "use crate::service::run;"),
        ("wire.rs", "pub(crate) use super::http::Answer;"),
        ("http.rs", "use std::service::x;\nuse service::y;"),
        ("unlayered.rs", ""),
    ]);
    assert_eq!(
        sources.layer_violations(),
        [
            "unlayered.rs: in no layer",
            "upwards: core/store/mod.rs: crate::service::inbox::wait (service/inbox.rs)",
            "upwards: core/store/cache.rs: crate::service::Limit (service.rs)",
            "upwards: core/store/cache.rs: crate::service::inbox (service/inbox.rs)",
            "upwards: wire.rs: super::http::Answer (http.rs)",
        ]
    );
}

#[test]
fn sample_cycles_are_found() {
    let sources = sample_sources(&[
        // A module and one that it contains may import each other.
        (
            "core/mod.rs",
            "pub use jobs::Job;\nuse crate::core::store::keys;",
        ),
        (
            "core/jobs.rs",
            "use crate::core::Core;\nuse crate::core::store::keys::KEY;",
        ),
        ("core/store/mod.rs", "use self::keys::KEY;\nmod keys;"),
        (
            "core/store/keys.rs",
            "use super::Store;\nuse super::super::leader::Term;",
        ),
        ("core/leader.rs", "use crate::core::jobs::{A, B};"),
        ("core/alone.rs", "use crate::core::leader::Term;"),
    ]);
    assert_eq!(
        sources.cycles(),
        ["cycle:\n    \
          core/jobs.rs: crate::core::store::keys::KEY (core/store/keys.rs)\n    \
          core/store/keys.rs: super::super::leader::Term (core/leader.rs)\n    \
          core/leader.rs: crate::core::jobs::A (core/jobs.rs)"]
    );
}
