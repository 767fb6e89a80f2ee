package io.endiveshed.coordination.cost;

/**
 * Fits {@code y = intercept + slope * x} by least squares with exponential forgetting. Intercept and slope are never
 * negative. Not thread-safe.
 */
final class LinearFit {
    /** Factor on the weight of the past observations with each new one. */
    private static final double FORGETTING_FACTOR = 0.995;
    /** Minimum relative spread of x at which the slope can be distinguished from the intercept. */
    private static final double MIN_SPREAD = 1e-6;

    private double weight;
    private double sumX;
    private double sumXx;
    private double sumY;
    private double sumXy;
    private double intercept;
    private double slope;

    /** Creates a fit with a prior line, which counts as observations of the given weight at two values of x. */
    LinearFit(double intercept, double slope, double firstX, double secondX, double priorWeight) {
        this.intercept = intercept;
        this.slope = slope;
        accumulate(priorWeight, firstX, intercept + slope * firstX);
        accumulate(priorWeight, secondX, intercept + slope * secondX);
    }

    /** Updates the line with an observation; keeps the line if the values of x spread too little. */
    void observe(double x, double y) {
        weight *= FORGETTING_FACTOR;
        sumX *= FORGETTING_FACTOR;
        sumXx *= FORGETTING_FACTOR;
        sumY *= FORGETTING_FACTOR;
        sumXy *= FORGETTING_FACTOR;
        accumulate(1, x, y);
        double determinant = weight * sumXx - sumX * sumX;
        if (determinant <= MIN_SPREAD * weight * sumXx) {
            return;
        }
        slope = Math.max(0, (weight * sumXy - sumX * sumY) / determinant);
        intercept = Math.max(0, (sumY - slope * sumX) / weight);
    }

    double intercept() {
        return intercept;
    }

    double slope() {
        return slope;
    }

    private void accumulate(double observations, double x, double y) {
        weight += observations;
        sumX += observations * x;
        sumXx += observations * x * x;
        sumY += observations * y;
        sumXy += observations * x * y;
    }
}
