//! Runs one stand-in as a process: prints a JSON line with its addresses, then serves until killed.

use bpaf::Bpaf;
use standin::journal::Recorder;
use standin::launch::{Announcement, EngineSpec};
use standin::serve::loopback;
use standin::{Error, engine, journal, objects, rating, reservation, table, vms};
use std::net::SocketAddr;
use std::time::Duration;

/// Stand-ins for the systems around a node.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
enum Command {
    /// Table service
    #[bpaf(command)]
    Table {
        /// Address to bind, ip:port
        #[bpaf(fallback(loopback(0)))]
        listen: SocketAddr,
        /// Reads a second
        reads_per_second: Option<u32>,
        /// Rows written a second
        writes_per_second: Option<u32>,
    },
    /// Object store
    #[bpaf(command)]
    Objects {
        /// Address to bind, ip:port
        #[bpaf(fallback(loopback(0)))]
        listen: SocketAddr,
    },
    /// List of VMs
    #[bpaf(command)]
    Vms {
        /// Address to bind, ip:port
        #[bpaf(fallback(loopback(0)))]
        listen: SocketAddr,
        /// Milliseconds until readers see a change
        #[bpaf(fallback(0))]
        lag_ms: u64,
    },
    /// Rating service
    #[bpaf(command)]
    Ratings {
        /// Address to bind, ip:port
        #[bpaf(fallback(loopback(0)))]
        listen: SocketAddr,
    },
    /// Journal of the runs
    #[bpaf(command)]
    Journal {
        /// Address to bind, ip:port
        #[bpaf(fallback(loopback(0)))]
        listen: SocketAddr,
    },
    /// Model engines, as many as are named
    #[bpaf(command)]
    Engines {
        /// URL of the journal
        journal: Option<String>,
        /// Engine, as in small@1,zone=a,quality=0.8,first_token_ms=20
        #[bpaf(long("engine"), argument("SPEC"), some("name at least one engine"))]
        engines: Vec<EngineSpec>,
    },
    /// Reservation service
    #[bpaf(command)]
    Reservations {
        /// Address to bind, ip:port
        #[bpaf(fallback(loopback(0)))]
        listen: SocketAddr,
        /// URL of the journal
        journal: Option<String>,
    },
}

#[rocket::main]
async fn main() -> Result<(), Error> {
    env_logger::init();
    run(command().run()).await
}

async fn run(command: Command) -> Result<(), Error> {
    match command {
        Command::Table {
            listen,
            reads_per_second,
            writes_per_second,
        } => {
            let settings = table::Settings {
                listen,
                reads_per_second,
                writes_per_second,
            };
            let server = table::Server::start(settings).await?;
            serve("table", &[server.address()]).await
        }
        Command::Objects { listen } => {
            let server = objects::Server::start(objects::Settings { listen }).await?;
            serve("objects", &[server.address()]).await
        }
        Command::Vms { listen, lag_ms } => {
            let lag = Duration::from_millis(lag_ms);
            let server = vms::Server::start(vms::Settings { listen, lag }).await?;
            serve("vms", &[server.address()]).await
        }
        Command::Ratings { listen } => {
            let settings = rating::Settings {
                listen,
                ..rating::Settings::default()
            };
            let server = rating::Server::start(settings).await?;
            serve("ratings", &[server.address()]).await
        }
        Command::Journal { listen } => {
            let server = journal::Server::start(journal::Settings { listen }).await?;
            serve("journal", &[server.address()]).await
        }
        Command::Engines { journal, engines } => {
            let mut servers = Vec::new();
            for spec in engines {
                let recorder = recorder(journal.as_deref());
                servers.push(engine::Server::start(spec.settings, recorder).await?);
            }
            let addresses: Vec<_> = servers.iter().map(engine::Server::address).collect();
            serve("engines", &addresses).await
        }
        Command::Reservations { listen, journal } => {
            let settings = reservation::Settings {
                listen,
                ..reservation::Settings::default()
            };
            let recorder = recorder(journal.as_deref());
            let server = reservation::Server::start(settings, recorder).await?;
            serve("reservations", &[server.address()]).await
        }
    }
}

fn recorder(journal: Option<&str>) -> Recorder {
    journal.map_or_else(Recorder::default, Recorder::remote)
}

async fn serve(kind: &str, addresses: &[SocketAddr]) -> Result<(), Error> {
    let announcement = Announcement {
        kind: kind.to_owned(),
        addresses: addresses.iter().map(SocketAddr::to_string).collect(),
    };
    announcement.print();
    std::future::pending().await
}
