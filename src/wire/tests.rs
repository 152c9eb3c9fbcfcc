use super::*;
use crate::job::Priority;
use std::time::Duration;

fn body(edit: impl Fn(&mut Value)) -> Vec<u8> {
    let mut v = serde_json::json!({
        "name_id":"wk-000412","crop":"train","steward":"vision","shape":"array","rank":"urgent",
        "rows":16,"cpus":8.0,"accelerators":1.0,"ram_gb":64.0,"seedstock":"img-07","size_gb":6.2,
        "breeds":["g8"],"parcel":null,"together":true,"scatter":false,"gleanable":true,
        "reckon_s":240.0,"harvest_s":30.0,"bale_s":4.0,"due_s":900.0,"new_field":[1]});
    edit(&mut v);
    v.to_string().into_bytes()
}

#[test]
fn a_submission_is_unchanged_after_encoding_and_parsing() {
    let spec = parse_submission(&body(|_| ())).unwrap();
    assert_eq!(parse_submission(&encode_submission(&spec)).unwrap(), spec);
    assert_eq!((spec.tasks, spec.priority), (16, Priority::High));
    assert_eq!(spec.deadline, Some(Duration::from_secs(900)));
}

#[test]
fn a_submission_with_an_invalid_field_is_rejected() {
    let invalid: &[(&str, Value)] = &[
        ("name_id", "wk-".into()),
        ("name_id", "job-7".into()),
        ("name_id", "wk-12/3".into()),
        ("rows", 0.into()),
        ("rows", 100_001.into()),
        ("rows", 1.5.into()),
        ("rows", (-1).into()),
        ("cpus", (-1.0).into()),
        ("cpus", "4".into()),
        ("ram_gb", 1e300.into()),
        ("shape", "ring".into()),
        ("rank", 3.into()),
        ("together", "yes".into()),
        ("breeds", "g8".into()),
        ("seedstock", "".into()),
        ("due_s", (-4).into()),
        ("awaits", "wk-1".into()),
        ("awaits", serde_json::json!({"wk-1": 1})),
        ("awaits", serde_json::json!([7])),
        ("awaits", serde_json::json!(["wk-1", "wk-"])),
        ("awaits", serde_json::json!(["wk-1/0"])),
    ];
    for (field, value) in invalid {
        let bad = body(|v| v[field] = value.clone());
        assert!(parse_submission(&bad).is_err(), "{field} = {value}");
    }
}

#[test]
fn a_submission_without_a_required_field_is_rejected() {
    let whole: Value = serde_json::from_slice(&body(|_| ())).unwrap();
    let fields = whole.as_object().unwrap();
    let may_be_null = ["breeds", "parcel", "due_s", "new_field"];
    for field in fields.keys() {
        let required = !may_be_null.contains(&field.as_str());
        let missing = body(|v| {
            v.as_object_mut().unwrap().remove(field);
        });
        assert_eq!(
            parse_submission(&missing).is_err(),
            required,
            "{field} missing"
        );
        let null = body(|v| v[field] = Value::Null);
        assert_eq!(parse_submission(&null).is_err(), required, "{field} null");
    }
}

#[test]
fn a_submission_with_an_amount_out_of_range_is_rejected() {
    for amount in [
        "cpus",
        "accelerators",
        "ram_gb",
        "size_gb",
        "reckon_s",
        "harvest_s",
        "bale_s",
        "due_s",
    ] {
        for value in [
            serde_json::json!(-0.5),
            serde_json::json!(2e9),
            "4".into(),
            true.into(),
            serde_json::json!([4.0]),
        ] {
            let bad = body(|v| v[amount] = value.clone());
            assert!(parse_submission(&bad).is_err(), "{amount} = {value}");
        }
        let text = String::from_utf8(body(|v| v[amount] = "X".into())).unwrap();
        for odd in ["NaN", "Infinity", "1e999", "-1e999", "0x4", "04"] {
            let bad = text.replace("\"X\"", odd);
            assert!(
                parse_submission(bad.as_bytes()).is_err(),
                "{amount} = {odd}"
            );
        }
    }
}

/// serde accepts an array of values for a struct, and an object with one key for an enum, unless the
/// parser excludes both.
#[test]
fn a_submission_of_another_json_type_is_rejected() {
    let whole: Value = serde_json::from_slice(&body(|_| ())).unwrap();
    let fields = whole.as_object().unwrap();
    let values: Vec<&Value> = [
        "name_id",
        "crop",
        "steward",
        "shape",
        "rank",
        "rows",
        "cpus",
        "accelerators",
        "ram_gb",
        "seedstock",
        "size_gb",
        "breeds",
        "parcel",
        "together",
        "scatter",
        "gleanable",
        "reckon_s",
        "harvest_s",
        "bale_s",
        "due_s",
        "new_field",
    ]
    .iter()
    .map(|f| &fields[*f])
    .collect();
    let mut values = serde_json::json!(values);
    values[20] = Value::Null;
    assert!(parse_submission(values.to_string().as_bytes()).is_err());
    for (field, value) in [("shape", "array"), ("rank", "urgent")] {
        let bad = body(|v| v[field] = serde_json::json!({value: null}));
        assert!(parse_submission(&bad).is_err(), "{field} as an object");
    }
    for bad in ["", "[]", "{", "null", "7", "{\"cpus\":NaN}"] {
        assert!(parse_submission(bad.as_bytes()).is_err(), "{bad}");
    }
}

#[test]
fn optional_fields_of_a_submission_may_be_left_out_or_null() {
    let omitted = body(|v| {
        for f in ["breeds", "parcel", "due_s"] {
            v.as_object_mut().unwrap().remove(f);
        }
    });
    assert_eq!(parse_submission(&omitted).unwrap().deadline, None);
    for (given, read) in [
        (Value::Null, vec![]),
        (serde_json::json!([]), vec![]),
        (
            serde_json::json!(["wk-2", "wk-1", "wk-2"]),
            vec!["wk-1", "wk-2"],
        ),
    ] {
        let spec = parse_submission(&body(|v| v["awaits"] = given.clone())).unwrap();
        let named: Vec<&str> = spec.dependencies.iter().map(|a| &**a).collect();
        assert_eq!(named, read);
    }
}

#[test]
fn an_error_names_the_field_for_the_user() {
    let error = |field: &str, value: Value| {
        let bad = body(|v| v[field] = value.clone());
        parse_submission(&bad).unwrap_err().to_string()
    };
    assert_eq!(error("name_id", "wk-".into()), "name_id: not a job id");
    assert_eq!(
        error("awaits", serde_json::json!(["wk-1/0"])),
        "awaits: \"wk-1/0\" is not a job id"
    );
    assert_eq!(error("rows", 0.into()), "rows: must be 1 to 100000");
    assert_eq!(error("ram_gb", (-1).into()), "ram_gb: out of range");
    let name = "a name must have 1 to 200 bytes";
    assert_eq!(error("seedstock", "".into()), name);
    assert!(error("shape", "ring".into()).starts_with("shape: \"ring\" is not known"));
    assert!(error("rank", "top".into()).starts_with("rank: \"top\" is not known"));
    let list = parse_submission(b"[]").unwrap_err().to_string();
    assert_eq!(list, "not a JSON object");
}
