package io.endiveshed.coordination.cost;

/** Fits {@code y = intercept + slope * x} by least squares with forgetting; both stay at or above zero. */
final class LinearFit {
    /** Weight that the past keeps with each observation. */
    private static final double FORGETTING = 0.995;
    /** Least relative spread of x at which a slope can be told from the intercept. */
    private static final double MIN_SPREAD = 1e-6;

    private double weight;
    private double sumX;
    private double sumXx;
    private double sumY;
    private double sumXy;
    private double intercept;
    private double slope;

    /** Starts from a line that counts as if it had been observed at two places. */
    LinearFit(double intercept, double slope, double firstX, double secondX, double priorWeight) {
        this.intercept = intercept;
        this.slope = slope;
        accumulate(priorWeight, firstX, intercept + slope * firstX);
        accumulate(priorWeight, secondX, intercept + slope * secondX);
    }

    void observe(double x, double y) {
        weight *= FORGETTING;
        sumX *= FORGETTING;
        sumXx *= FORGETTING;
        sumY *= FORGETTING;
        sumXy *= FORGETTING;
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

    private void accumulate(double count, double x, double y) {
        weight += count;
        sumX += count * x;
        sumXx += count * x * x;
        sumY += count * y;
        sumXy += count * x * y;
    }
}
