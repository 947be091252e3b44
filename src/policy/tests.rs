use super::*;

#[test]
fn script_sets_values_and_invalid_scripts_are_rejected() {
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

/// Guards against a default outside the range that is declared with it, which a script could
/// not set.
#[test]
fn every_default_is_within_its_range() {
    for (name, value) in Policy::default().entries() {
        let set = Policy::parse(&format!("return {{ {name} = {value} }}"));
        assert_eq!(set.expect(name), Policy::default());
    }
}
