use super::*;

#[test]
fn each_path_has_one_method() {
    let cases = [
        (Method::GET, "/healthz", Ok(Route::Health)),
        (Method::POST, "/healthz", Err(RouteError::MethodNotAllowed)),
        (Method::POST, "/checkin", Ok(Route::Report)),
        (Method::GET, "/checkin", Err(RouteError::MethodNotAllowed)),
        (Method::POST, "/v1/jobs", Ok(Route::SubmitJob)),
        (Method::GET, "/v1/jobs", Err(RouteError::MethodNotAllowed)),
        (Method::GET, "/v1/jobs/7", Ok(Route::ShowJob("7"))),
        (Method::DELETE, "/v1/jobs/7", Err(RouteError::MethodNotAllowed)),
        (Method::POST, "/v1/jobs/7/abort", Ok(Route::CancelJob("7"))),
        (Method::GET, "/v1/jobs/7/abort", Err(RouteError::MethodNotAllowed)),
        (Method::POST, "/v1/jobs/7/pause", Err(RouteError::UnknownPath)),
        (Method::POST, "/v1/jobs/7/abort/now", Err(RouteError::UnknownPath)),
        (Method::GET, "/", Err(RouteError::UnknownPath)),
    ];
    for (method, path, expected) in cases {
        assert_eq!(Route::resolve(&method, path), expected, "{method} {path}");
    }
}
