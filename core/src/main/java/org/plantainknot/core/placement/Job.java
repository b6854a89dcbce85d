package org.plantainknot.core.placement;

import org.plantainknot.core.admission.WorkKind;

/**
 * A job as it was submitted.
 *
 * @param id identifier, never reused
 * @param team team that owns it and whose quota it uses
 * @param profile name of the kind of job; jobs of a team with the same profile use similar
 *     resources
 * @param kind urgency
 * @param declared size that its team declares, which may be far from the actual usage
 */
public record Job(String id, String team, String profile, WorkKind kind, Resources declared) {}
