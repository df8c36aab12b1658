//! What the view of one node costs with many members, without sockets.

use contract::{Config, Member, Object};
use serde::Serialize;
use standin::Error;
use std::time::{Duration, Instant};
use view::{Action, Settings, View};
use wire::{Beat, Delta, Entry, Frame, Proof, Touch};

/// A node's heartbeat unless it is set.
const HEARTBEAT: Duration = Duration::from_millis(500);
/// Links of the node.
const LINKS: usize = 8;
/// Time that is played through.
const PLAYED: Duration = Duration::from_secs(120);
/// Age of what peers say, in the frame's units.
const AGE_UNITS: u8 = 9;

/// What a view costs; rates are a second of played time.
#[derive(Debug, Serialize)]
pub struct Row {
    pub members: usize,
    pub sent_bytes: f64,
    pub received_bytes: f64,
    pub core_percent: f64,
    pub touch_frame_bytes: usize,
}

/// Plays heartbeats of a node with eight links through.
pub fn measure(members: usize) -> Result<Row, Error> {
    let mut played = Played::new(members)?;
    let start = Instant::now();
    while played.now < played.end {
        played.step()?;
    }
    let seconds = PLAYED.as_secs_f64();
    Ok(Row {
        members,
        sent_bytes: played.sent as f64 / seconds,
        received_bytes: played.received as f64 / seconds,
        core_percent: 100.0 * start.elapsed().as_secs_f64() / seconds,
        touch_frame_bytes: played.largest,
    })
}

/// A view and its peers, which say what the view itself says.
struct Played {
    view: View,
    now: Instant,
    end: Instant,
    sent: usize,
    received: usize,
    largest: usize,
    sequence: u64,
}

impl Played {
    fn new(members: usize) -> Result<Self, Error> {
        let objects = (0..members).map(|index| Object::Member(member(index)));
        let config = Config::new(1, objects.collect());
        let last = Delta {
            change: "measured".into(),
            entries: Vec::<Entry>::new(),
            replaced: Vec::new(),
            revision: 1,
        };
        let now = Instant::now() + PLAYED;
        let settings = Settings {
            heartbeat: HEARTBEAT,
            ..Settings::default()
        };
        let mut view = View::new(settings, member(0));
        view.restore(config, last);
        for index in 1..=LINKS.min(members - 1) {
            let _ = view.connect(&member(index).node, 1, "", now);
        }
        Ok(Self {
            view,
            now,
            end: now + PLAYED,
            sent: 0,
            received: 0,
            largest: 0,
            sequence: 0,
        })
    }

    fn step(&mut self) -> Result<(), Error> {
        self.now += HEARTBEAT;
        let actions = self.view.tick(self.now);
        for action in actions {
            let Action::Send(node, frame) = action else {
                continue;
            };
            let bytes = wire::encode(&frame).map_err(|_| Error::Timeout("a frame is written"))?;
            self.sent += bytes.len();
            if let Frame::Touch(touch) = &frame {
                self.largest = self.largest.max(bytes.len());
                self.hear(&node, Frame::Touch(heard(touch)))?;
            }
            if let Frame::Beat(beat) = &frame {
                self.answer(&node, beat.sequence)?;
            }
        }
        Ok(())
    }

    /// A peer's heartbeat and proof.
    fn answer(&mut self, node: &str, echo: u64) -> Result<(), Error> {
        self.sequence += 1;
        let beat = Beat {
            echo,
            platform_age_ms: None,
            revision: 1,
            sequence: self.sequence,
        };
        self.hear(node, Frame::Beat(beat))?;
        let proof = Proof {
            age_ms: 500,
            revision: 1,
        };
        self.hear(node, Frame::Proof(proof))
    }

    fn hear(&mut self, node: &str, frame: Frame) -> Result<(), Error> {
        let bytes = wire::encode(&frame).map_err(|_| Error::Timeout("a frame is written"))?;
        self.received += bytes.len();
        let frame = wire::decode(&bytes).map_err(|_| Error::Timeout("a frame is read"))?;
        // What peers make of the view's frames is their own cost.
        let _ = self.view.receive(node, &frame, self.now);
        Ok(())
    }
}

fn heard(touch: &Touch) -> Touch {
    Touch {
        ages: vec![AGE_UNITS; touch.ages.len()],
        ..touch.clone()
    }
}

/// A member of a fleet of any size.
pub fn member(index: usize) -> Member {
    Member {
        node: format!("node-{index:04}"),
        incarnation: 1,
        zone: "a".into(),
        http: "10.0.0.1:8080".into(),
        link: "10.0.0.1:8081".into(),
        leaving: false,
    }
}
