use super::*;

#[test]
fn a_script_sets_values_and_is_checked() {
    let policy = Policy::parse("local h = 0.5\nreturn { headroom = h * 2, idle_return_s = 10 }");
    let policy = policy.expect("valid");
    assert_eq!((policy.headroom, policy.idle_return_s), (1.0, 10.0));
    assert_eq!(
        Policy::parse("return { hedroom = 1 }"),
        Err(PolicyError::Unknown("hedroom".into()))
    );
    assert_eq!(
        Policy::parse("return { headroom = 'lots' }"),
        Err(PolicyError::NotANumber("headroom".into()))
    );
    assert!(matches!(
        Policy::parse("return { headroom = -1 }"),
        Err(PolicyError::OutOfRange { .. })
    ));
    assert_eq!(Policy::parse("return 3"), Err(PolicyError::NotATable));
    assert!(matches!(Policy::parse("return os.time()"), Err(PolicyError::Script(_))));
}
