use super::*;
use crate::image::{Change, Entry};
use crate::record::ArchiveKey;
use proptest::prelude::*;
use std::fs::File;

const KEY: ArchiveKey = [7; 32];

fn put(key: &str, version: u64, value: &str) -> Change {
    let value = value.to_string();
    Change {
        key: key.into(),
        entry: Some(Entry { version, value }),
    }
}

fn delete(key: &str) -> Change {
    Change {
        key: key.into(),
        entry: None,
    }
}

/// Writes a base of two items and a log of four changes in three records. Returns the image after the
/// base and after each record.
fn write_small_timeline(dir: &Path) -> Vec<Image> {
    let mut image = Image::default();
    image.apply(vec![put("a", 1, "{}"), put("b", 2, "[1,2]")], 2);
    let mut images = vec![image.clone()];
    let mut w = Writer::begin(dir, KEY, "s", &image).unwrap();
    let steps = [
        (vec![put("c", 3, "3")], 3),
        (vec![delete("a"), put("b", 4, "{\"x\":4}")], 4),
        (vec![put("d", 5, "\"five\"")], 5),
    ];
    for (changes, revision) in steps {
        w.append(&changes, revision).unwrap();
        image.apply(changes, revision);
        images.push(image.clone());
    }
    w.sync().unwrap();
    images
}

/// Guards against a log record beyond the size limit for reading: a delayed snapshotter gets the pages
/// of 6,000 machines in one watch response.
#[test]
fn a_log_of_many_long_values_in_one_response_can_be_read() {
    let dir = tempfile::tempdir().unwrap();
    let mut image = Image::default();
    image.apply(vec![put("a", 1, "{}")], 1);
    let mut writer = Writer::begin(dir.path(), KEY, "s", &image).unwrap();
    let page = format!("{:?}", "x".repeat(8 * 1024));
    let pages = (0..300).map(|n| put(&format!("p/{n}"), 2 + n, &page));
    let pages: Vec<Change> = pages.collect();
    writer.append(&pages, 301).unwrap();
    image.apply(pages, 301);
    writer.sync().unwrap();
    let timeline = read(dir.path(), &KEY).unwrap();
    assert_eq!((&timeline.image, timeline.faults.len()), (&image, 0));
}

/// The writer may be interrupted at any byte: all complete records are read, and an incomplete one is
/// reported as a fault.
#[test]
fn a_log_truncated_at_any_byte_is_read_up_to_the_last_whole_record() {
    let dir = tempfile::tempdir().unwrap();
    let images = write_small_timeline(dir.path());
    let log = dir.path().join("000001.log");
    let whole = std::fs::read(&log).unwrap();
    let mut revisions = std::collections::BTreeSet::new();
    for n in 0..=whole.len() {
        std::fs::write(&log, &whole[..n]).unwrap();
        let timeline = read(dir.path(), &KEY).unwrap();
        assert!(images.contains(&timeline.image), "cut at {n}");
        let fault = timeline.faults.first().map(|f| f.fault.clone());
        assert!(matches!(fault, None | Some(Fault::Torn)), "{fault:?}");
        revisions.insert(timeline.image.revision);
    }
    assert_eq!(revisions, [2, 3, 4, 5].into());
}

#[test]
fn a_flipped_bit_in_any_byte_is_detected_and_no_wrong_data_is_read() {
    let dir = tempfile::tempdir().unwrap();
    let images = write_small_timeline(dir.path());
    for name in ["000001.base", "000001.log"] {
        let file = dir.path().join(name);
        let whole = std::fs::read(&file).unwrap();
        for n in 0..whole.len() {
            let mut bytes = whole.clone();
            bytes[n] ^= 1 << (n % 8);
            std::fs::write(&file, &bytes).unwrap();
            match read(dir.path(), &KEY) {
                Ok(timeline) => {
                    assert_eq!(timeline.faults.len(), 1, "{name} byte {n}");
                    assert!(images.contains(&timeline.image), "{name} byte {n}");
                }
                Err(TimelineError::NoBase(faults)) => {
                    assert_eq!((name, faults.len()), ("000001.base", 1));
                }
                Err(TimelineError::Io(error)) => panic!("{name} byte {n}: {error}"),
            }
        }
        std::fs::write(&file, &whole).unwrap();
    }
    assert!(read(dir.path(), &KEY).unwrap().faults.is_empty());
}

/// An intact record that was written with another key is not accepted as part of the timeline.
#[test]
fn a_log_written_with_another_key_is_rejected() {
    let dir = tempfile::tempdir().unwrap();
    write_small_timeline(dir.path());
    let other = tempfile::tempdir().unwrap();
    let mut w = Writer::begin(other.path(), [8; 32], "s", &Image::default()).unwrap();
    w.append(&[put("a", 9, "9")], 9).unwrap();
    let forged = std::fs::read(other.path().join("000001.log")).unwrap();
    std::fs::write(dir.path().join("000001.log"), forged).unwrap();
    let timeline = read(dir.path(), &KEY).unwrap();
    assert_eq!(timeline.image.revision, 2);
    assert_eq!(timeline.faults[0].fault, Fault::NotAuthentic);
}

#[test]
fn a_damaged_base_falls_back_to_the_pair_before_it() {
    let dir = tempfile::tempdir().unwrap();
    let images = write_small_timeline(dir.path());
    let last = images.last().unwrap();
    Writer::begin(dir.path(), KEY, "s", last).unwrap();
    let base = dir.path().join("000002.base");
    let mut bytes = std::fs::read(&base).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 4;
    std::fs::write(&base, bytes).unwrap();
    let timeline = read(dir.path(), &KEY).unwrap();
    assert_eq!((&timeline.image, timeline.faults.len()), (last, 1));
    // The third pair removes the first, and a log without a base is ignored.
    Writer::begin(dir.path(), KEY, "s", last).unwrap();
    assert!(!dir.path().join("000001.base").exists());
    File::create(dir.path().join("000009.log")).unwrap();
    assert_eq!(&read(dir.path(), &KEY).unwrap().image, last);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]
    /// A timeline reads back the content of the store after any sequence of puts, deletions and
    /// compactions.
    #[test]
    fn reading_returns_what_was_written(
        steps in proptest::collection::vec((0..20u8, proptest::option::of("[a-z]{0,40}"), any::<bool>()), 1..60)
    ) {
        let dir = tempfile::tempdir().unwrap();
        let mut image = Image::default();
        let mut w = Writer::begin(dir.path(), KEY, "", &image).unwrap();
        for (n, (key, value, compact)) in steps.into_iter().enumerate() {
            let revision = n as u64 + 1;
            let key = format!("k/{key}");
            let change = match value {
                Some(v) => put(&key, revision, &v),
                None => delete(&key),
            };
            w.append(std::slice::from_ref(&change), revision).unwrap();
            image.apply(vec![change], revision);
            if compact && n % 7 == 0 {
                w.compact(&image).unwrap();
            }
        }
        let timeline = read(dir.path(), &KEY).unwrap();
        prop_assert_eq!(timeline.image, image);
        prop_assert!(timeline.faults.is_empty());
    }
}
