#![allow(clippy::redundant_closure_call)]
#![allow(clippy::needless_lifetimes)]
#![allow(clippy::match_single_binding)]
#![allow(clippy::clone_on_copy)]

#[doc = r" Error types."]
pub mod error {
    #[doc = r" Error from a `TryFrom` or `FromStr` implementation."]
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
#[doc = "A change of the configuration: all of its edits are put in one revision, or none is."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"A change of the configuration: all of its edits are put in one revision, or none is.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"change\","]
#[doc = "    \"entries\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"base\": {"]
#[doc = "      \"description\": \"Revision against which the change was written; absent to write over whatever stands.\","]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"change\": {"]
#[doc = "      \"description\": \"Id of the change. The same id sent again is the same change.\","]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"dry_run\": {"]
#[doc = "      \"description\": \"Check only.\","]
#[doc = "      \"default\": false,"]
#[doc = "      \"type\": \"boolean\""]
#[doc = "    },"]
#[doc = "    \"entries\": {"]
#[doc = "      \"type\": \"array\","]
#[doc = "      \"items\": {"]
#[doc = "        \"$ref\": \"#/definitions/Edit\""]
#[doc = "      }"]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Change {
    #[doc = "Revision against which the change was written; absent to write over whatever stands."]
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub base: ::std::option::Option<u64>,
    #[doc = "Id of the change. The same id sent again is the same change."]
    pub change: ::std::string::String,
    #[doc = "Check only."]
    #[serde(default)]
    pub dry_run: bool,
    pub entries: ::std::vec::Vec<Edit>,
}
impl ::std::convert::From<&Change> for Change {
    fn from(value: &Change) -> Self {
        value.clone()
    }
}
#[doc = "Another change came first."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"Another change came first.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"key\","]
#[doc = "    \"revision\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"current\": {"]
#[doc = "      \"description\": \"The object that stands now; absent if there is none.\""]
#[doc = "    },"]
#[doc = "    \"key\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"revision\": {"]
#[doc = "      \"description\": \"Revision that stands now.\","]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"yours\": {"]
#[doc = "      \"description\": \"The object that was asked for; absent for a removal.\""]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Conflict {
    #[doc = "The object that stands now; absent if there is none."]
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub current: ::std::option::Option<::serde_json::Value>,
    pub key: ::std::string::String,
    #[doc = "Revision that stands now."]
    pub revision: u64,
    #[doc = "The object that was asked for; absent for a removal."]
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub yours: ::std::option::Option<::serde_json::Value>,
}
impl ::std::convert::From<&Conflict> for Conflict {
    fn from(value: &Conflict) -> Self {
        value.clone()
    }
}
#[doc = "Puts an object or, without one, removes what stands under the key."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"Puts an object or, without one, removes what stands under the key.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"key\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"key\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"object\": {"]
#[doc = "      \"description\": \"The object as in schema/contract.json.\""]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    pub key: ::std::string::String,
    #[doc = "The object as in schema/contract.json."]
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub object: ::std::option::Option<::serde_json::Value>,
}
impl ::std::convert::From<&Edit> for Edit {
    fn from(value: &Edit) -> Self {
        value.clone()
    }
}
#[doc = "One fault that the check found."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"One fault that the check found.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"code\","]
#[doc = "    \"key\","]
#[doc = "    \"message\","]
#[doc = "    \"path\","]
#[doc = "    \"severity\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"code\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"key\": {"]
#[doc = "      \"description\": \"Key of the object.\","]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"message\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"path\": {"]
#[doc = "      \"description\": \"JSON pointer into the object.\","]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"severity\": {"]
#[doc = "      \"$ref\": \"#/definitions/Severity\""]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Finding {
    pub code: ::std::string::String,
    #[doc = "Key of the object."]
    pub key: ::std::string::String,
    pub message: ::std::string::String,
    #[doc = "JSON pointer into the object."]
    pub path: ::std::string::String,
    pub severity: Severity,
}
impl ::std::convert::From<&Finding> for Finding {
    fn from(value: &Finding) -> Self {
        value.clone()
    }
}
#[doc = "`silent`: not heard for a while, so paused, cut off or dead. `leaving`: it stops."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"`silent`: not heard for a while, so paused, cut off or dead. `leaving`: it stops.\","]
#[doc = "  \"type\": \"string\","]
#[doc = "  \"enum\": ["]
#[doc = "    \"live\","]
#[doc = "    \"silent\","]
#[doc = "    \"leaving\""]
#[doc = "  ]"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum Life {
    #[serde(rename = "live")]
    Live,
    #[serde(rename = "silent")]
    Silent,
    #[serde(rename = "leaving")]
    Leaving,
}
impl ::std::convert::From<&Self> for Life {
    fn from(value: &Life) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for Life {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Live => f.write_str("live"),
            Self::Silent => f.write_str("silent"),
            Self::Leaving => f.write_str("leaving"),
        }
    }
}
impl ::std::str::FromStr for Life {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "live" => Ok(Self::Live),
            "silent" => Ok(Self::Silent),
            "leaving" => Ok(Self::Leaving),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Life {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for Life {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Life {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Objects of the configuration by key."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"Objects of the configuration by key.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"objects\","]
#[doc = "    \"revision\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"objects\": {"]
#[doc = "      \"type\": \"object\","]
#[doc = "      \"additionalProperties\": {}"]
#[doc = "    },"]
#[doc = "    \"revision\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Objects {
    pub objects: ::serde_json::Map<::std::string::String, ::serde_json::Value>,
    pub revision: u64,
}
impl ::std::convert::From<&Objects> for Objects {
    fn from(value: &Objects) -> Self {
        value.clone()
    }
}
#[doc = "A version of a model."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"A version of a model.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"model\","]
#[doc = "    \"stage\","]
#[doc = "    \"version\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"demoted\": {"]
#[doc = "      \"description\": \"Tasks at which the answering node has found the version bad.\","]
#[doc = "      \"default\": [],"]
#[doc = "      \"type\": \"array\","]
#[doc = "      \"items\": {"]
#[doc = "        \"type\": \"string\""]
#[doc = "      }"]
#[doc = "    },"]
#[doc = "    \"model\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"stage\": {"]
#[doc = "      \"$ref\": \"#/definitions/Stage\""]
#[doc = "    },"]
#[doc = "    \"version\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Offer {
    #[doc = "Tasks at which the answering node has found the version bad."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub demoted: ::std::vec::Vec<::std::string::String>,
    pub model: ::std::string::String,
    pub stage: Stage,
    pub version: ::std::string::String,
}
impl ::std::convert::From<&Offer> for Offer {
    fn from(value: &Offer) -> Self {
        value.clone()
    }
}
#[doc = "What became of a change."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"What became of a change.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"change\","]
#[doc = "    \"state\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"change\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"findings\": {"]
#[doc = "      \"description\": \"Warnings of the check.\","]
#[doc = "      \"default\": [],"]
#[doc = "      \"type\": \"array\","]
#[doc = "      \"items\": {"]
#[doc = "        \"$ref\": \"#/definitions/Finding\""]
#[doc = "      }"]
#[doc = "    },"]
#[doc = "    \"outstanding\": {"]
#[doc = "      \"description\": \"Members that have not yet confirmed the revision.\","]
#[doc = "      \"default\": [],"]
#[doc = "      \"type\": \"array\","]
#[doc = "      \"items\": {"]
#[doc = "        \"type\": \"string\""]
#[doc = "      }"]
#[doc = "    },"]
#[doc = "    \"revision\": {"]
#[doc = "      \"description\": \"Revision that the change made; absent after a dry run.\","]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"state\": {"]
#[doc = "      \"$ref\": \"#/definitions/State\""]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Outcome {
    pub change: ::std::string::String,
    #[doc = "Warnings of the check."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub findings: ::std::vec::Vec<Finding>,
    #[doc = "Members that have not yet confirmed the revision."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub outstanding: ::std::vec::Vec<::std::string::String>,
    #[doc = "Revision that the change made; absent after a dry run."]
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub revision: ::std::option::Option<u64>,
    pub state: State,
}
impl ::std::convert::From<&Outcome> for Outcome {
    fn from(value: &Outcome) -> Self {
        value.clone()
    }
}
#[doc = "A member of the fleet."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"A member of the fleet.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"http\","]
#[doc = "    \"node\","]
#[doc = "    \"outstanding\","]
#[doc = "    \"state\","]
#[doc = "    \"zone\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"http\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"node\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"outstanding\": {"]
#[doc = "      \"description\": \"Whether the member has yet to confirm the node's revision.\","]
#[doc = "      \"type\": \"boolean\""]
#[doc = "    },"]
#[doc = "    \"state\": {"]
#[doc = "      \"$ref\": \"#/definitions/Life\""]
#[doc = "    },"]
#[doc = "    \"zone\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Peer {
    pub http: ::std::string::String,
    pub node: ::std::string::String,
    #[doc = "Whether the member has yet to confirm the node's revision."]
    pub outstanding: bool,
    pub state: Life,
    pub zone: ::std::string::String,
}
impl ::std::convert::From<&Peer> for Peer {
    fn from(value: &Peer) -> Self {
        value.clone()
    }
}
#[doc = "An availability zone."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"An availability zone.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"members\","]
#[doc = "    \"name\","]
#[doc = "    \"out\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"members\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint32\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"name\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"out\": {"]
#[doc = "      \"type\": \"boolean\""]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Place {
    pub members: u32,
    pub name: ::std::string::String,
    pub out: bool,
}
impl ::std::convert::From<&Place> for Place {
    fn from(value: &Place) -> Self {
        value.clone()
    }
}
#[doc = "Whether the change or request took effect."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"Whether the change or request took effect.\","]
#[doc = "  \"type\": \"string\","]
#[doc = "  \"enum\": ["]
#[doc = "    \"no\","]
#[doc = "    \"yes\","]
#[doc = "    \"unknown\""]
#[doc = "  ]"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum Ran {
    #[serde(rename = "no")]
    No,
    #[serde(rename = "yes")]
    Yes,
    #[serde(rename = "unknown")]
    Unknown,
}
impl ::std::convert::From<&Self> for Ran {
    fn from(value: &Ran) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for Ran {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::No => f.write_str("no"),
            Self::Yes => f.write_str("yes"),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}
impl ::std::str::FromStr for Ran {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "no" => Ok(Self::No),
            "yes" => Ok(Self::Yes),
            "unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Ran {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for Ran {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Ran {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "`Reason`"]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"code\","]
#[doc = "    \"message\","]
#[doc = "    \"ran\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"code\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"message\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"ran\": {"]
#[doc = "      \"$ref\": \"#/definitions/Ran\""]
#[doc = "    },"]
#[doc = "    \"retry_after_ms\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Reason {
    pub code: ::std::string::String,
    pub message: ::std::string::String,
    pub ran: Ran,
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub retry_after_ms: ::std::option::Option<u64>,
}
impl ::std::convert::From<&Reason> for Reason {
    fn from(value: &Reason) -> Self {
        value.clone()
    }
}
#[doc = "Body of every answer that isn't a success."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"Body of every answer that isn't a success.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"error\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"conflict\": {"]
#[doc = "      \"$ref\": \"#/definitions/Conflict\""]
#[doc = "    },"]
#[doc = "    \"error\": {"]
#[doc = "      \"$ref\": \"#/definitions/Reason\""]
#[doc = "    },"]
#[doc = "    \"findings\": {"]
#[doc = "      \"default\": [],"]
#[doc = "      \"type\": \"array\","]
#[doc = "      \"items\": {"]
#[doc = "        \"$ref\": \"#/definitions/Finding\""]
#[doc = "      }"]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Refusal {
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub conflict: ::std::option::Option<Conflict>,
    pub error: Reason,
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub findings: ::std::vec::Vec<Finding>,
}
impl ::std::convert::From<&Refusal> for Refusal {
    fn from(value: &Refusal) -> Self {
        value.clone()
    }
}
#[doc = "Keys shared by nodes: of links, or of session tokens."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"Keys shared by nodes: of links, or of session tokens.\","]
#[doc = "  \"type\": \"string\","]
#[doc = "  \"enum\": ["]
#[doc = "    \"link\","]
#[doc = "    \"session\""]
#[doc = "  ]"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum Ring {
    #[serde(rename = "link")]
    Link,
    #[serde(rename = "session")]
    Session,
}
impl ::std::convert::From<&Self> for Ring {
    fn from(value: &Ring) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for Ring {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Link => f.write_str("link"),
            Self::Session => f.write_str("session"),
        }
    }
}
impl ::std::str::FromStr for Ring {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "link" => Ok(Self::Link),
            "session" => Ok(Self::Session),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Ring {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for Ring {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Ring {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "Keys of a ring after a step, the one in use first."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"Keys of a ring after a step, the one in use first.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"keys\","]
#[doc = "    \"node\","]
#[doc = "    \"ring\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"keys\": {"]
#[doc = "      \"description\": \"First characters of the keys' digests.\","]
#[doc = "      \"type\": \"array\","]
#[doc = "      \"items\": {"]
#[doc = "        \"type\": \"string\""]
#[doc = "      }"]
#[doc = "    },"]
#[doc = "    \"node\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"ring\": {"]
#[doc = "      \"$ref\": \"#/definitions/Ring\""]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Rotated {
    #[doc = "First characters of the keys' digests."]
    pub keys: ::std::vec::Vec<::std::string::String>,
    pub node: ::std::string::String,
    pub ring: Ring,
}
impl ::std::convert::From<&Rotated> for Rotated {
    fn from(value: &Rotated) -> Self {
        value.clone()
    }
}
#[doc = "One step of the rotation of a shared key on one node."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"One step of the rotation of a shared key on one node.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"key\","]
#[doc = "    \"ring\","]
#[doc = "    \"step\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"key\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"ring\": {"]
#[doc = "      \"$ref\": \"#/definitions/Ring\""]
#[doc = "    },"]
#[doc = "    \"step\": {"]
#[doc = "      \"$ref\": \"#/definitions/Step\""]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Rotation {
    pub key: ::std::string::String,
    pub ring: Ring,
    pub step: Step,
}
impl ::std::convert::From<&Rotation> for Rotation {
    fn from(value: &Rotation) -> Self {
        value.clone()
    }
}
#[doc = "`Severity`"]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"type\": \"string\","]
#[doc = "  \"enum\": ["]
#[doc = "    \"error\","]
#[doc = "    \"warning\""]
#[doc = "  ]"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum Severity {
    #[serde(rename = "error")]
    Error,
    #[serde(rename = "warning")]
    Warning,
}
impl ::std::convert::From<&Self> for Severity {
    fn from(value: &Severity) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for Severity {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Error => f.write_str("error"),
            Self::Warning => f.write_str("warning"),
        }
    }
}
impl ::std::str::FromStr for Severity {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "error" => Ok(Self::Error),
            "warning" => Ok(Self::Warning),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Severity {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for Severity {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Severity {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "`Stage`"]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"type\": \"string\","]
#[doc = "  \"enum\": ["]
#[doc = "    \"live\","]
#[doc = "    \"rolling_out\","]
#[doc = "    \"paused\","]
#[doc = "    \"withdrawn\""]
#[doc = "  ]"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum Stage {
    #[serde(rename = "live")]
    Live,
    #[serde(rename = "rolling_out")]
    RollingOut,
    #[serde(rename = "paused")]
    Paused,
    #[serde(rename = "withdrawn")]
    Withdrawn,
}
impl ::std::convert::From<&Self> for Stage {
    fn from(value: &Stage) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for Stage {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Live => f.write_str("live"),
            Self::RollingOut => f.write_str("rolling_out"),
            Self::Paused => f.write_str("paused"),
            Self::Withdrawn => f.write_str("withdrawn"),
        }
    }
}
impl ::std::str::FromStr for Stage {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "live" => Ok(Self::Live),
            "rolling_out" => Ok(Self::RollingOut),
            "paused" => Ok(Self::Paused),
            "withdrawn" => Ok(Self::Withdrawn),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Stage {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for Stage {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Stage {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "`checked` by a dry run, `written` to the table, `accepted` by a majority of members, `in_force` at every member."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"`checked` by a dry run, `written` to the table, `accepted` by a majority of members, `in_force` at every member.\","]
#[doc = "  \"type\": \"string\","]
#[doc = "  \"enum\": ["]
#[doc = "    \"checked\","]
#[doc = "    \"written\","]
#[doc = "    \"accepted\","]
#[doc = "    \"in_force\""]
#[doc = "  ]"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum State {
    #[serde(rename = "checked")]
    Checked,
    #[serde(rename = "written")]
    Written,
    #[serde(rename = "accepted")]
    Accepted,
    #[serde(rename = "in_force")]
    InForce,
}
impl ::std::convert::From<&Self> for State {
    fn from(value: &State) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for State {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Checked => f.write_str("checked"),
            Self::Written => f.write_str("written"),
            Self::Accepted => f.write_str("accepted"),
            Self::InForce => f.write_str("in_force"),
        }
    }
}
impl ::std::str::FromStr for State {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "checked" => Ok(Self::Checked),
            "written" => Ok(Self::Written),
            "accepted" => Ok(Self::Accepted),
            "in_force" => Ok(Self::InForce),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for State {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for State {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for State {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
#[doc = "The fleet as the answering node sees it."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"The fleet as the answering node sees it.\","]
#[doc = "  \"type\": \"object\","]
#[doc = "  \"required\": ["]
#[doc = "    \"incarnation\","]
#[doc = "    \"members\","]
#[doc = "    \"node\","]
#[doc = "    \"revision\","]
#[doc = "    \"serving\","]
#[doc = "    \"versions\","]
#[doc = "    \"zone\","]
#[doc = "    \"zones\""]
#[doc = "  ],"]
#[doc = "  \"properties\": {"]
#[doc = "    \"head_age_ms\": {"]
#[doc = "      \"description\": \"Age of the newest proof that this revision was the head; absent if there is none.\","]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"incarnation\": {"]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"members\": {"]
#[doc = "      \"type\": \"array\","]
#[doc = "      \"items\": {"]
#[doc = "        \"$ref\": \"#/definitions/Peer\""]
#[doc = "      }"]
#[doc = "    },"]
#[doc = "    \"node\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"outstanding\": {"]
#[doc = "      \"description\": \"Members that have not yet confirmed this revision.\","]
#[doc = "      \"default\": [],"]
#[doc = "      \"type\": \"array\","]
#[doc = "      \"items\": {"]
#[doc = "        \"type\": \"string\""]
#[doc = "      }"]
#[doc = "    },"]
#[doc = "    \"revision\": {"]
#[doc = "      \"description\": \"Newest revision that the node has applied.\","]
#[doc = "      \"type\": \"integer\","]
#[doc = "      \"format\": \"uint64\","]
#[doc = "      \"minimum\": 0.0"]
#[doc = "    },"]
#[doc = "    \"serving\": {"]
#[doc = "      \"description\": \"Whether the node starts new work.\","]
#[doc = "      \"type\": \"boolean\""]
#[doc = "    },"]
#[doc = "    \"versions\": {"]
#[doc = "      \"type\": \"array\","]
#[doc = "      \"items\": {"]
#[doc = "        \"$ref\": \"#/definitions/Offer\""]
#[doc = "      }"]
#[doc = "    },"]
#[doc = "    \"zone\": {"]
#[doc = "      \"type\": \"string\""]
#[doc = "    },"]
#[doc = "    \"zones\": {"]
#[doc = "      \"type\": \"array\","]
#[doc = "      \"items\": {"]
#[doc = "        \"$ref\": \"#/definitions/Place\""]
#[doc = "      }"]
#[doc = "    }"]
#[doc = "  },"]
#[doc = "  \"additionalProperties\": false"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(:: serde :: Deserialize, :: serde :: Serialize, Clone, Debug, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Status {
    #[doc = "Age of the newest proof that this revision was the head; absent if there is none."]
    #[serde(default, skip_serializing_if = "::std::option::Option::is_none")]
    pub head_age_ms: ::std::option::Option<u64>,
    pub incarnation: u64,
    pub members: ::std::vec::Vec<Peer>,
    pub node: ::std::string::String,
    #[doc = "Members that have not yet confirmed this revision."]
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub outstanding: ::std::vec::Vec<::std::string::String>,
    #[doc = "Newest revision that the node has applied."]
    pub revision: u64,
    #[doc = "Whether the node starts new work."]
    pub serving: bool,
    pub versions: ::std::vec::Vec<Offer>,
    pub zone: ::std::string::String,
    pub zones: ::std::vec::Vec<Place>,
}
impl ::std::convert::From<&Status> for Status {
    fn from(value: &Status) -> Self {
        value.clone()
    }
}
#[doc = "`add`: accept the key; `use`: send or sign with it; `remove`: accept it no more."]
#[doc = r""]
#[doc = r" <details><summary>JSON schema</summary>"]
#[doc = r""]
#[doc = r" ```json"]
#[doc = "{"]
#[doc = "  \"description\": \"`add`: accept the key; `use`: send or sign with it; `remove`: accept it no more.\","]
#[doc = "  \"type\": \"string\","]
#[doc = "  \"enum\": ["]
#[doc = "    \"add\","]
#[doc = "    \"use\","]
#[doc = "    \"remove\""]
#[doc = "  ]"]
#[doc = "}"]
#[doc = r" ```"]
#[doc = r" </details>"]
#[derive(
    :: serde :: Deserialize,
    :: serde :: Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
)]
pub enum Step {
    #[serde(rename = "add")]
    Add,
    #[serde(rename = "use")]
    Use,
    #[serde(rename = "remove")]
    Remove,
}
impl ::std::convert::From<&Self> for Step {
    fn from(value: &Step) -> Self {
        value.clone()
    }
}
impl ::std::fmt::Display for Step {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Add => f.write_str("add"),
            Self::Use => f.write_str("use"),
            Self::Remove => f.write_str("remove"),
        }
    }
}
impl ::std::str::FromStr for Step {
    type Err = self::error::ConversionError;
    fn from_str(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "add" => Ok(Self::Add),
            "use" => Ok(Self::Use),
            "remove" => Ok(Self::Remove),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Step {
    type Error = self::error::ConversionError;
    fn try_from(value: &str) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<&::std::string::String> for Step {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Step {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
