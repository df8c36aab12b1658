//! Plots of cost against quality and of goodput against load.

use super::report::{Report, Row};
use plotters::prelude::*;
use standin::Error;
use std::path::Path;

const SIZE: (u32, u32) = (900, 600);

/// Loads whose goodput is plotted.
const LOADS: [&str; 5] = ["half", "full", "double", "fourfold", "eightfold"];

/// Writes all plots into a folder.
pub fn write(folder: &Path, report: &Report) -> Result<(), Error> {
    std::fs::create_dir_all(folder)?;
    for (site, _) in &report.capacity {
        let rows: Vec<_> = report.rows.iter().filter(|row| row.site == *site).collect();
        let name = |what: &str| {
            let site: String = site.chars().filter(char::is_ascii_alphabetic).collect();
            folder.join(format!("{}-{what}.svg", site.to_lowercase()))
        };
        let steady: Vec<_> = rows
            .iter()
            .copied()
            .filter(|row| row.scenario == "steady")
            .collect();
        let loads: Vec<_> = rows
            .iter()
            .copied()
            .filter(|row| LOADS.contains(&row.scenario))
            .collect();
        if !steady.is_empty() {
            cost(&name("cost"), &steady).map_err(drawing)?;
        }
        if !loads.is_empty() {
            goodput(&name("goodput"), &loads).map_err(drawing)?;
        }
    }
    Ok(())
}

type Drawn = Result<(), Box<dyn std::error::Error>>;

fn drawing(error: Box<dyn std::error::Error>) -> Error {
    std::io::Error::other(error.to_string()).into()
}

fn cost(path: &Path, rows: &[&Row]) -> Drawn {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let most = rows.iter().map(|row| row.cost_micros).fold(0.0, f64::max);
    let least = rows.iter().map(|row| row.good).fold(1.0, f64::min);
    let mut chart = ChartBuilder::on(&area)
        .caption(
            format!("Cost against quality, {}", rows[0].site),
            ("sans-serif", 20),
        )
        .margin(15)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(least - 0.02..1.0, 0.0..most * 1.1)?;
    chart
        .configure_mesh()
        .x_desc("share of good answers")
        .y_desc("micro-units of money for an answer")
        .draw()?;
    chart.draw_series(rows.iter().enumerate().map(|(index, row)| {
        let color = Palette99::pick(index).to_rgba();
        EmptyElement::at((row.good, row.cost_micros))
            + Circle::new((0, 0), 4, color.filled())
            + Text::new(
                row.strategy,
                (6, -6),
                ("sans-serif", 13).into_font().color(&color),
            )
    }))?;
    area.present()?;
    Ok(())
}

fn goodput(path: &Path, rows: &[&Row]) -> Drawn {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let most = rows.iter().map(|row| row.goodput).fold(0.0, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption(
            format!("Goodput against load, {}", rows[0].site),
            ("sans-serif", 20),
        )
        .margin(15)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..8.4, 0.0..most * 1.1)?;
    chart
        .configure_mesh()
        .x_desc("load relative to the capacity")
        .y_desc("good answers in time a second")
        .draw()?;
    let mut names: Vec<_> = rows.iter().map(|row| row.strategy).collect();
    names.dedup();
    names.truncate(rows.len() / LOADS.len());
    for (index, name) in names.into_iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points: Vec<_> = rows
            .iter()
            .filter(|row| row.strategy == name)
            .map(|row| (row.load, row.goodput))
            .collect();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 15, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
