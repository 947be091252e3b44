use super::*;

#[test]
fn parsing_a_task_name_returns_its_parts() {
    assert_eq!(parse_task_name(&task_name("j-000412", 17)), Some(("j-000412", 17)));
    assert_eq!(parse_task_name("j-000412"), None);
    assert_eq!(parse_task_name("j-000412/x"), None);
}
