//! Plots of the slopes, as SVG files.

use std::path::Path;

use {
    anyhow::{Context, Result, anyhow},
    plotters::prelude::{BLACK, ChartBuilder, IntoDrawingArea, LineSeries, RED, SVGBackend, WHITE},
};

use super::cost::Cost;

const SIZE: (u32, u32) = (640, 400);

/// VMs of the points that differ in their workers, and workers of those that differ in their VMs.
const FIXED: (u64, u64) = (8, 50);

/// A figure of a VM with the name of its file, its label and its bound.
struct Figure {
    name: &'static str,
    label: &'static str,
    bound: f64,
    read: fn(&Cost) -> f64,
}

const FIGURES: [Figure; 3] = [
    Figure { name: "cpu", label: "processor time, % of a core", bound: 2.7, read: |cost| cost.cpu },
    Figure {
        name: "memory",
        label: "peak memory, MB",
        bound: 128.0,
        read: |cost| cost.memory.peak,
    },
    Figure {
        name: "bytes",
        label: "control traffic, B/s",
        bound: 4_096.0,
        read: |cost| cost.bytes.total(),
    },
];

/// Draws processor time, memory and traffic of a VM against workers and against VMs.
///
/// # Errors
///
/// Fails if a file cannot be written.
pub fn costs(directory: &Path, costs: &[Cost]) -> Result<()> {
    std::fs::create_dir_all(directory)
        .with_context(|| format!("cannot create {}", directory.display()))?;
    let by_workers = costs.iter().filter(|cost| cost.size.vms == FIXED.0);
    let by_workers: Vec<_> = by_workers.map(|cost| (cost.size.workers, cost)).collect();
    let by_vms = costs.iter().filter(|cost| cost.size.workers == FIXED.1);
    let mut by_vms: Vec<_> = by_vms.map(|cost| (cost.size.vms, cost)).collect();
    by_vms.sort_by_key(|(vms, _)| *vms);
    for figure in &FIGURES {
        for (axis, points) in [("workers", &by_workers), ("vms", &by_vms)] {
            let points = points.iter().map(|&(x, cost)| (x as f64, (figure.read)(cost)));
            let points: Vec<(f64, f64)> = points.collect();
            let file = directory.join(format!("cost-{}-{axis}.svg", figure.name));
            draw(&file, axis, figure, &points)
                .map_err(|error| anyhow!("cannot draw {}: {error}", file.display()))?;
        }
    }
    Ok(())
}

fn draw(
    file: &Path,
    axis: &str,
    figure: &Figure,
    points: &[(f64, f64)],
) -> Result<(), Box<dyn std::error::Error>> {
    let right = points.iter().map(|point| point.0).fold(0.0, f64::max);
    let top = points.iter().map(|point| point.1).fold(figure.bound, f64::max) * 1.1;
    let area = SVGBackend::new(file, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().x_desc(axis).y_desc(figure.label).draw()?;
    chart.draw_series(LineSeries::new(points.iter().copied(), &BLACK).point_size(3))?;
    chart.draw_series(LineSeries::new([(0.0, figure.bound), (right, figure.bound)], &RED))?;
    area.present()?;
    Ok(())
}
