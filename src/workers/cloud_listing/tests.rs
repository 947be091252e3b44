use super::*;

#[test]
fn a_machine_never_named_by_a_list_is_not_missing() {
    let mut listing = CloudListing::default();
    listing.finish_list();
    assert!(!listing.is_missing());
}

#[test]
fn whether_a_machine_is_missing_changes_only_when_a_list_is_complete() {
    let mut listing = CloudListing::default();
    listing.note_named();
    listing.finish_list();
    assert!(!listing.is_missing());
    listing.finish_list();
    assert!(listing.is_missing());
    listing.note_named();
    assert!(listing.is_missing());
    listing.finish_list();
    assert!(!listing.is_missing());
}
