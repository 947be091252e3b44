use super::*;

#[test]
fn a_script_sets_values_and_is_checked() {
    let policy = Policy::parse("local h = 0.5\nreturn { headroom = h * 2, idle_return_s = 10 }");
    let policy = policy.expect("valid");
    assert_eq!((policy.headroom, policy.idle_return_s), (1.0, 10.0));
    assert!(matches!(
        Policy::parse("return { hedroom = 1 }"),
        Err(PolicyError::Unknown(name)) if name == "hedroom"
    ));
    assert!(matches!(
        Policy::parse("return { headroom = 'lots' }"),
        Err(PolicyError::NotANumber(name)) if name == "headroom"
    ));
    assert!(matches!(
        Policy::parse("return { headroom = -1 }"),
        Err(PolicyError::OutOfRange { .. })
    ));
    assert!(matches!(Policy::parse("return 3"), Err(PolicyError::NotATable)));
    assert!(matches!(Policy::parse("return os.time()"), Err(PolicyError::Script(_))));
}

/// The table of values is the only place that knows their ranges: each default must be
/// in its own.
#[test]
fn every_default_is_in_its_range() {
    for (name, value) in Policy::default().entries() {
        let set = Policy::parse(&format!("return {{ {name} = {value} }}"));
        assert_eq!(set.expect(name), Policy::default());
    }
}
