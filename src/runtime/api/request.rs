//! Users' requests, parsed once where they come in: from a user, or from a peer that passes one on.

use super::error::ApiError;
use crate::ids::JobId;
use crate::protocol::peers::PeerRequest;
use crate::protocol::users::{parse_submission, MalformedSubmission, Submission};

/// Where users submit jobs.
const SUBMISSIONS_PATH: &str = "/submissions";
/// What follows a job's path to cancel it.
const CANCEL_PATH_SEGMENT: &str = "withdraw";
/// Added to the path of a forwarded submission that names dependencies. Guards against a peer of the version
/// before dependencies, which would accept the job without them: to that one it is no path.
const FORWARDED_WITH_DEPENDENCIES: &str = "/chain/new";

/// Who sent a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// A user.
    User,
    /// Another controller, for a user of its own. Never forwarded again.
    Peer,
}

/// A user's request, with the bytes it came in.
#[derive(Debug)]
pub struct UserRequest {
    /// What the user wants.
    pub action: UserAction,
    /// Who sent it.
    pub origin: Origin,
    /// What a peer is sent if it has to answer.
    wire: WireRequest,
}

/// What a user wants.
#[derive(Debug)]
pub enum UserAction {
    /// Submit a job. A malformed one may still name a job that is known already.
    Submit(Box<Result<Submission, MalformedSubmission>>),
    /// Read a job's state. None: the text is no job id, so there is no such job.
    Poll(Option<JobId>),
    /// Cancel a job; None as for a poll.
    Cancel(Option<JobId>),
}

/// A request as it came over HTTP.
#[derive(Debug)]
struct WireRequest {
    method: String,
    path: String,
    body: Vec<u8>,
}

impl UserRequest {
    /// Parses a request. Only an unknown path and a wrong method are errors here: whatever is wrong with the
    /// body or the job id is answered in its turn.
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

    /// Whether this is a submission that names dependencies.
    pub fn has_dependencies(&self) -> bool {
        match &self.action {
            UserAction::Submit(submission) => {
                let named = submission.as_ref().as_ref();
                named.is_ok_and(|submission| !submission.upstream_jobs.is_empty())
            }
            UserAction::Poll(_) | UserAction::Cancel(_) => false,
        }
    }

    /// The message that asks a peer to answer this request.
    pub fn to_forward(&self) -> PeerRequest {
        let suffix = if self.has_dependencies() {
            FORWARDED_WITH_DEPENDENCIES
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

/// What a path names.
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
        if rest.is_empty() || (origin == Origin::Peer && rest == FORWARDED_WITH_DEPENDENCIES) {
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
