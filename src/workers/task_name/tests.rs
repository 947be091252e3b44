use super::*;

#[test]
fn task_names_split_as_they_were_joined() {
    assert_eq!(parse_task_name(&task_name("j-000412", 17)), Some(("j-000412", 17)));
    assert_eq!(parse_task_name("j-000412"), None);
    assert_eq!(parse_task_name("j-000412/x"), None);
}
