//! The events of a stream, as the targets of a run write them.

/// The run of a stream that an event belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Run {
    /// Request, target, and number of the run there.
    name: String,
    /// Number of the event after which the run goes on.
    pub(super) after: u64,
}

impl Run {
    /// Returns the id of the request that was run.
    pub(super) fn request(&self) -> &str {
        self.name.split('/').next().unwrap_or_default()
    }

    /// Returns the name of the target.
    pub(super) fn target(&self) -> &str {
        self.name.split('/').nth(1).unwrap_or_default()
    }
}

/// A whole event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Piece {
    pub(super) id: u64,
    pub(super) run: Run,
    /// Version of the software that made it.
    pub(super) software: String,
}

impl Piece {
    /// Reads an event: `id: 3`, then `data: piece 3 of run NAME after 0 of v1`.
    fn parse(event: &str) -> Option<Self> {
        let (id, data) = event.strip_suffix("\n\n")?.split_once('\n')?;
        let id = id.strip_prefix("id: ")?;
        let origin = data
            .strip_prefix("data: piece ")?
            .strip_prefix(id)?
            .strip_prefix(" of run ")?;
        let (name, rest) = origin.split_once(" after ")?;
        let (after, software) = rest.split_once(" of ")?;
        let run = Run {
            name: name.to_owned(),
            after: after.parse().ok()?,
        };
        let is_plain = software.chars().all(|c| c.is_ascii_alphanumeric());
        is_plain.then_some(Self {
            id: id.parse().ok()?,
            run,
            software: software.to_owned(),
        })
    }
}

/// Returns the events that came whole.
pub(super) fn pieces(body: &str) -> Vec<Piece> {
    whole_events(body).filter_map(Piece::parse).collect()
}

/// Tells whether all that a body has up to the end of its last event is events.
pub(super) fn is_well_formed(body: &str) -> bool {
    whole_events(body).all(|event| Piece::parse(event).is_some())
}

/// Tells whether a body ends with the end of an event.
pub(super) fn ends_with_event(body: &str) -> bool {
    body.is_empty() || body.ends_with("\n\n")
}

/// Lists the events that came whole, without comments.
fn whole_events(body: &str) -> impl Iterator<Item = &str> {
    let events = body.split_inclusive("\n\n");
    events.filter(|event| event.ends_with("\n\n") && !event.starts_with(':'))
}
