//! Users' requests, parsed once on arrival from the user or from a peer that forwards them.

use super::error::ApiError;
use crate::ids::JobId;
use crate::protocol::peers::PeerRequest;
use crate::protocol::users::{parse_submission, MalformedSubmission, Submission};

/// The path to which users submit jobs.
const SUBMISSIONS_PATH: &str = "/submissions";
/// The path segment after a job's path that cancels the job.
const CANCEL_PATH_SEGMENT: &str = "withdraw";
/// Appended to the path of a forwarded submission that has dependencies. A peer of a version that does not know
/// dependencies would accept the job without them; with this suffix it rejects the path instead.
const DEPENDENCIES_PATH_SUFFIX: &str = "/chain/new";

/// Who sent a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A user.
    User,
    /// Another controller, on behalf of a user. Such a request is not forwarded again.
    Peer,
}

/// A user's request, parsed and as received.
#[derive(Debug)]
pub struct UserRequest {
    /// The requested action.
    pub action: UserAction,
    /// Who sent it.
    pub origin: Origin,
    /// The request as received, for forwarding to a peer.
    wire: WireRequest,
}

/// An action that a user requests.
#[derive(Debug)]
pub enum UserAction {
    /// Submit a job. A malformed submission may still carry the id of a job that was accepted earlier.
    Submit(Box<Result<Submission, MalformedSubmission>>),
    /// Read a job's state. None if the path holds no valid job id, so that no such job can exist.
    Poll(Option<JobId>),
    /// Cancel a job. None if the path holds no valid job id.
    Cancel(Option<JobId>),
}

/// An HTTP request as received.
#[derive(Debug)]
struct WireRequest {
    method: String,
    path: String,
    body: Vec<u8>,
}

impl UserRequest {
    /// Parses a request. Returns an error only for an unknown path or a wrong method; a malformed body or job id is
    /// reported when the action is executed.
    pub fn parse(
        method: &str,
        path: &str,
        body: Vec<u8>,
        origin: Origin,
    ) -> Result<UserRequest, ApiError> {
        let target = Target::parse(path, origin)?;
        if method != target.method() {
            return Err(ApiError::MethodNotAllowed);
        }
        let action = match target {
            Target::Submissions => UserAction::Submit(Box::new(parse_submission(&body))),
            Target::Job(id) => UserAction::Poll(JobId::parse(id)),
            Target::JobCancellation(id) => UserAction::Cancel(JobId::parse(id)),
        };
        Ok(UserRequest {
            action,
            origin,
            wire: WireRequest {
                method: method.into(),
                path: path.into(),
                body,
            },
        })
    }

    /// Whether this is a submission with dependencies.
    pub fn has_dependencies(&self) -> bool {
        match &self.action {
            UserAction::Submit(submission) => {
                let parsed = submission.as_ref().as_ref();
                parsed.is_ok_and(|submission| !submission.upstream_jobs.is_empty())
            }
            UserAction::Poll(_) | UserAction::Cancel(_) => false,
        }
    }

    /// Builds the message that asks a peer to serve this request.
    pub fn to_peer_request(&self) -> PeerRequest {
        let suffix = if self.has_dependencies() {
            DEPENDENCIES_PATH_SUFFIX
        } else {
            ""
        };
        PeerRequest::Forward {
            method: self.wire.method.clone(),
            path: format!("{}{suffix}", self.wire.path),
            body: self.wire.body.clone(),
        }
    }
}

/// The resource that a request path refers to.
enum Target<'a> {
    Submissions,
    Job(&'a str),
    JobCancellation(&'a str),
}

impl Target<'_> {
    fn parse(path: &str, origin: Origin) -> Result<Target<'_>, ApiError> {
        let rest = path
            .strip_prefix(SUBMISSIONS_PATH)
            .ok_or(ApiError::NoSuchPath)?;
        if rest.is_empty() || (origin == Origin::Peer && rest == DEPENDENCIES_PATH_SUFFIX) {
            return Ok(Target::Submissions);
        }
        let job = rest.strip_prefix('/').ok_or(ApiError::NoSuchPath)?;
        match job.split_once('/') {
            None => Ok(Target::Job(job)),
            Some((id, CANCEL_PATH_SEGMENT)) => Ok(Target::JobCancellation(id)),
            Some(_) => Err(ApiError::NoSuchPath),
        }
    }

    fn method(&self) -> &'static str {
        match self {
            Target::Submissions | Target::JobCancellation(_) => "POST",
            Target::Job(_) => "GET",
        }
    }
}
