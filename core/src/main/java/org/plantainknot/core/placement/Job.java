package org.plantainknot.core.placement;

import org.plantainknot.core.admission.WorkKind;

/**
 * A job as it was submitted.
 *
 * @param id identifier, unique for all time
 * @param team team that it counts for
 * @param profile name of what it does; jobs of a team with the same profile are alike
 * @param kind urgency
 * @param declared size that its team states, which may be far off
 */
public record Job(String id, String team, String profile, WorkKind kind, Resources declared) {}
