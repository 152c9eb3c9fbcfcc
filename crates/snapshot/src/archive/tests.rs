use super::*;
use crate::image::{Change, Entry};

#[test]
fn each_store_gets_its_own_timeline_and_the_oldest_are_removed() {
    let dir = tempfile::tempdir().unwrap();
    let archive = Archive::open(dir.path()).unwrap();
    assert!(archive.newest().unwrap().is_none());
    let mut image = Image::default();
    for n in 0..10u64 {
        let entry = Some(Entry {
            version: n + 1,
            value: n.to_string(),
        });
        image.apply(
            vec![Change {
                key: "k".into(),
                entry,
            }],
            n + 1,
        );
        archive.create_timeline(&format!("s{n}"), &image).unwrap();
    }
    // The archive can be opened again, with the same key.
    let archive = Archive::open_existing(dir.path()).unwrap();
    let all = archive.list().unwrap();
    assert_eq!((all.len(), &*all[0].name), (KEPT_TIMELINES, "0003-s2"));
    let timeline = archive.newest().unwrap().unwrap().timeline.unwrap();
    assert_eq!(
        (&*timeline.header.store, timeline.image.revision),
        ("s9", 10)
    );
    for which in ["s4", "5", "0005-s4"] {
        let timeline = archive.find(which).unwrap().unwrap().timeline.unwrap();
        assert_eq!(timeline.header.store, "s4");
    }
    assert!(archive.find("s0").unwrap().is_none());
    assert!(Archive::open_existing(&dir.path().join("none")).is_err());
}
