use super::*;

#[test]
fn a_machine_that_no_list_has_named_is_not_missing() {
    let mut listing = CloudListing::default();
    listing.list_complete();
    assert!(!listing.is_missing());
}

#[test]
fn a_machine_is_missing_from_the_end_of_a_list_without_it_to_the_end_of_one_with_it() {
    let mut listing = CloudListing::default();
    listing.named();
    listing.list_complete();
    assert!(!listing.is_missing());
    listing.list_complete();
    assert!(listing.is_missing());
    listing.named();
    assert!(listing.is_missing());
    listing.list_complete();
    assert!(!listing.is_missing());
}
