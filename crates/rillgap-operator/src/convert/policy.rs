//! Conversions of the policy.

use rillgap_core::id::{BackEndName, NodeName, PolicyVersion, ServiceName};
use rillgap_core::policy::{
    BackEndPolicy, BackEndState, Bounds, Class, Policy, RoutePolicy, ServicePolicy,
};

use crate::error::MessageError;
use crate::schema;

/// Converts a policy to its schema message.
pub fn policy_to_schema(policy: Policy) -> schema::Policy {
    schema::Policy {
        version: policy.version.0,
        bounds: Some(bounds_to_schema(policy.bounds)),
        services: policy.services.into_iter().map(service_to_schema).collect(),
        routes: policy.routes.into_iter().map(route_to_schema).collect(),
        back_ends: policy
            .back_ends
            .into_iter()
            .map(back_end_to_schema)
            .collect(),
    }
}

/// Converts a policy from its schema message; `rillgap-core` validates the result.
pub fn policy_from_schema(policy: schema::Policy) -> Result<Policy, MessageError> {
    let bounds = policy
        .bounds
        .map_or(Ok(Bounds::default()), bounds_from_schema)?;
    let services = policy
        .services
        .into_iter()
        .enumerate()
        .map(service_from_schema);
    let routes = policy.routes.into_iter().enumerate().map(route_from_schema);
    let back_ends = policy
        .back_ends
        .into_iter()
        .enumerate()
        .map(back_end_from_schema);
    Ok(Policy {
        version: PolicyVersion(policy.version),
        bounds,
        services: services.collect::<Result<_, _>>()?,
        routes: routes.collect::<Result<_, _>>()?,
        back_ends: back_ends.collect::<Result<_, _>>()?,
        ..Policy::default()
    })
}

/// Converts the state of a back end to its schema value.
pub fn back_end_state_to_schema(state: BackEndState) -> schema::BackEndState {
    match state {
        BackEndState::Serving => schema::BackEndState::Serving,
        BackEndState::Leaving => schema::BackEndState::Leaving,
    }
}

/// Converts the state of a back end from its schema value; `field` is the path in errors.
pub fn back_end_state_from_schema(field: &str, value: i32) -> Result<BackEndState, MessageError> {
    match schema::BackEndState::try_from(value) {
        Ok(schema::BackEndState::Serving) => Ok(BackEndState::Serving),
        Ok(schema::BackEndState::Leaving) => Ok(BackEndState::Leaving),
        Ok(schema::BackEndState::Unspecified) | Err(_) => Err(unknown_value(field, value)),
    }
}

fn bounds_to_schema(bounds: Bounds) -> schema::Bounds {
    schema::Bounds {
        extra_attempts: bounds.extra_attempts.into(),
        calls_per_request: bounds.calls_per_request.into(),
        key_life_seconds: bounds.key_life_seconds,
        retry_percent: bounds.retry_percent.into(),
    }
}

fn bounds_from_schema(bounds: schema::Bounds) -> Result<Bounds, MessageError> {
    Ok(Bounds {
        extra_attempts: to_u8("policy.bounds.extra_attempts", bounds.extra_attempts)?,
        calls_per_request: to_u8("policy.bounds.calls_per_request", bounds.calls_per_request)?,
        key_life_seconds: bounds.key_life_seconds,
        retry_percent: to_u8("policy.bounds.retry_percent", bounds.retry_percent)?,
    })
}

fn service_to_schema(service: ServicePolicy) -> schema::ServicePolicy {
    schema::ServicePolicy {
        name: service.name.0,
        slots: service.slots.into(),
        connections: service.connections.into(),
        queue_millis: service.queue_millis,
    }
}

fn service_from_schema(
    (position, service): (usize, schema::ServicePolicy),
) -> Result<ServicePolicy, MessageError> {
    let field = |name: &str| format!("policy.services[{position}].{name}");
    Ok(ServicePolicy {
        name: ServiceName(service.name),
        slots: to_u16(&field("slots"), service.slots)?,
        connections: to_u16(&field("connections"), service.connections)?,
        queue_millis: service.queue_millis,
    })
}

fn route_to_schema(route: RoutePolicy) -> schema::RoutePolicy {
    schema::RoutePolicy {
        service: route.service.0,
        method: route.method,
        path: route.path,
        class: class_to_schema(route.class).into(),
        repeatable: route.repeatable,
        deadline_millis: route.deadline_millis,
    }
}

fn route_from_schema(
    (position, route): (usize, schema::RoutePolicy),
) -> Result<RoutePolicy, MessageError> {
    let field = format!("policy.routes[{position}].class");
    Ok(RoutePolicy {
        class: class_from_schema(&field, route.class)?,
        service: ServiceName(route.service),
        method: route.method,
        path: route.path,
        repeatable: route.repeatable,
        deadline_millis: route.deadline_millis,
    })
}

fn class_to_schema(class: Class) -> schema::Class {
    match class {
        Class::Bulk => schema::Class::Bulk,
        Class::Sheddable => schema::Class::Sheddable,
        Class::Standard => schema::Class::Standard,
        Class::Critical => schema::Class::Critical,
    }
}

fn class_from_schema(field: &str, value: i32) -> Result<Class, MessageError> {
    match schema::Class::try_from(value) {
        Ok(schema::Class::Bulk) => Ok(Class::Bulk),
        Ok(schema::Class::Sheddable) => Ok(Class::Sheddable),
        Ok(schema::Class::Standard) => Ok(Class::Standard),
        Ok(schema::Class::Critical) => Ok(Class::Critical),
        Ok(schema::Class::Unspecified) | Err(_) => Err(unknown_value(field, value)),
    }
}

fn back_end_to_schema(back_end: BackEndPolicy) -> schema::BackEndPolicy {
    schema::BackEndPolicy {
        name: back_end.name.0,
        service: back_end.service.0,
        node: back_end.node.0,
        state: back_end_state_to_schema(back_end.state).into(),
    }
}

fn back_end_from_schema(
    (position, back_end): (usize, schema::BackEndPolicy),
) -> Result<BackEndPolicy, MessageError> {
    let field = format!("policy.back_ends[{position}].state");
    Ok(BackEndPolicy {
        state: back_end_state_from_schema(&field, back_end.state)?,
        name: BackEndName(back_end.name),
        service: ServiceName(back_end.service),
        node: NodeName(back_end.node),
    })
}

fn to_u8(field: &str, value: u32) -> Result<u8, MessageError> {
    u8::try_from(value).map_err(|_| out_of_range(field, value, u8::MAX.into()))
}

fn to_u16(field: &str, value: u32) -> Result<u16, MessageError> {
    u16::try_from(value).map_err(|_| out_of_range(field, value, u16::MAX.into()))
}

fn out_of_range(field: &str, value: u32, maximum: u32) -> MessageError {
    MessageError::OutOfRange {
        field: field.to_owned(),
        value,
        maximum,
    }
}

fn unknown_value(field: &str, value: i32) -> MessageError {
    MessageError::UnknownValue {
        field: field.to_owned(),
        value,
    }
}
